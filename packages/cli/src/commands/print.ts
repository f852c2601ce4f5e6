/**
 * Prints a line to standard output.
 *
 * @param line - the line, without a newline
 */
export default function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
