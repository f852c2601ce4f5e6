/** A subcommand of `guavayard`. */
interface Command {
  readonly name: string;
  /** One-line description for the list of commands. */
  readonly summary: string;
  /** Arguments after `guavayard NAME`; the help text describes each option that it mentions. */
  readonly usage: string;
  /**
   * Runs the command.
   *
   * @param args - the arguments after the command's name
   * @returns the exit code
   * @throws UsageError if the arguments are invalid
   */
  run: (args: string[]) => Promise<number>;
}

export default Command;
