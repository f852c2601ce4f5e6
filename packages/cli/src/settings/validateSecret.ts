import { Err, Ok, type Result } from 'ts-results';

const MIN_SECRET_LENGTH = 16;

/**
 * Checks the length of a key or token.
 *
 * @param text - the secret, possibly surrounded by whitespace
 * @param source - where it comes from, for error messages
 * @returns the secret without surrounding whitespace, or an error message
 */
export default function validateSecret(text: string, source: string): Result<string, string> {
  const secret = text.trim();
  if (secret.length >= MIN_SECRET_LENGTH) return Ok(secret);
  return Err(`${source}: expected at least ${MIN_SECRET_LENGTH} characters, found ${secret.length}`);
}
