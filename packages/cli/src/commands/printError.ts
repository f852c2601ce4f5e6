/**
 * Prints a line on the standard error output.
 *
 * @param line - the line
 */
export default function printError(line: string): void {
  process.stderr.write(`guavayard: ${line}\n`);
}
