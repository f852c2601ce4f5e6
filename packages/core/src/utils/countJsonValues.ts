/* Characters outside of strings that begin or separate values. */
const COMMA = 0x2c;
const BRACKET = 0x5b;
const BRACE = 0x7b;

/**
 * Counts what may be values of a JSON text, without parsing it: each costs memory of its own.
 *
 * @param text - the text
 * @returns the number of commas, arrays and objects, with those in strings
 */
export default function countJsonValues(text: string): number {
  let count = 0;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (code === COMMA || code === BRACKET || code === BRACE) count += 1;
  }
  return count;
}
