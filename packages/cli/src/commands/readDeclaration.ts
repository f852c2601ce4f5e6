import { readFile } from 'node:fs/promises';

import { parse } from 'smol-toml';
import { Err, Ok, type Result } from 'ts-results';

import Configuration from '@guavayard/core/types/Configuration';
import describeIssues from '@guavayard/core/types/describeIssues';

/**
 * Reads and validates a configuration from a file.
 *
 * @param path - path of the file: JSON if it ends in `.json`, else TOML
 * @returns the configuration, or one message per error
 */
export default async function readDeclaration(
  path: string,
): Promise<Result<Configuration, string[]>> {
  let document: unknown;
  try {
    const text = await readFile(path, 'utf8');
    document = path.endsWith('.json') ? JSON.parse(text) : parse(text);
  } catch (err) {
    return Err([`${path}: ${(err as Error).message}`]);
  }
  const parsed = Configuration.safeParse(document);
  if (parsed.success) return Ok(parsed.data);
  return Err(describeIssues(parsed.error, document).map((issue) => `${path}: ${issue}`));
}
