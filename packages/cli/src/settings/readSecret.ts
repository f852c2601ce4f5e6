import { readFile } from 'node:fs/promises';

import { Err, type Result } from 'ts-results';

import validateSecret from './validateSecret';

/**
 * Reads a key or token from a file and checks its length.
 *
 * @param path - path of the file
 * @param setting - key of the setting that holds the path, for error messages
 * @returns the secret without surrounding whitespace, or an error message
 */
export default async function readSecret(
  path: string,
  setting: string,
): Promise<Result<string, string>> {
  let text: string;
  try {
    text = await readFile(path, 'utf8');
  } catch (err) {
    return Err(`${setting}: ${path} cannot be read: ${(err as NodeJS.ErrnoException).code}`);
  }
  return validateSecret(text, `${setting}: ${path}`);
}
