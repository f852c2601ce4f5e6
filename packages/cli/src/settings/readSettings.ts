import { readFile } from 'node:fs/promises';

import { Err, type Result } from 'ts-results';

import parseSettings from './parseSettings';
import type Settings from './Settings';

/**
 * Reads and validates the settings file of a VM.
 *
 * @param path - path of the TOML file
 * @returns the settings, or one message per error, prefixed with the path
 */
export default async function readSettings(path: string): Promise<Result<Settings, string[]>> {
  let text: string;
  try {
    text = await readFile(path, 'utf8');
  } catch (err) {
    return Err([`${path}: cannot be read: ${(err as NodeJS.ErrnoException).code}`]);
  }
  return parseSettings(text).mapErr((errors) => errors.map((error) => `${path}: ${error}`));
}
