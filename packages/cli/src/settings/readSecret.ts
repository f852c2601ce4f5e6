import { readFile } from 'node:fs/promises';

import { Err, Ok, type Result } from 'ts-results';

const MIN_SECRET_LENGTH = 16;

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
  let secret: string;
  try {
    secret = (await readFile(path, 'utf8')).trim();
  } catch (err) {
    return Err(`${setting}: ${path} cannot be read: ${(err as NodeJS.ErrnoException).code}`);
  }
  if (secret.length < MIN_SECRET_LENGTH) {
    return Err(`${setting}: ${path}: expected at least ${MIN_SECRET_LENGTH} characters, found ${secret.length}`);
  }
  return Ok(secret);
}
