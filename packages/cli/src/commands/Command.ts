/** One command of the command line. */
interface Command {
  readonly name: string;
  /** One line for the list of commands. */
  readonly summary: string;
  /** What follows `guavayard NAME`, with a line for each option. */
  readonly usage: string;
  /**
   * Runs the command.
   *
   * @param args - the words after the command's name
   * @returns the exit code
   * @throws UsageError if the words are wrong
   */
  run: (args: string[]) => Promise<number>;
}

export default Command;
