/**
 * Prints a line on the standard output.
 *
 * @param line - the line
 */
export default function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
