/**
 * Prints a line to standard error, prefixed with the program's name.
 *
 * @param line - the line, without a newline
 */
export default function printError(line: string): void {
  process.stderr.write(`guavayard: ${line}\n`);
}
