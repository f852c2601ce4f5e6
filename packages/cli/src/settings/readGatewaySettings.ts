import { readFile } from 'node:fs/promises';

import { parse } from 'smol-toml';
import { Err, Ok, type Result } from 'ts-results';

import GatewaySettings from './GatewaySettings';

/**
 * Reads and validates the settings of a VM in declared mode.
 *
 * @param path - path of the TOML file
 * @returns the settings, or a message that lists the errors
 */
export default async function readGatewaySettings(
  path: string,
): Promise<Result<GatewaySettings, string>> {
  let document: unknown;
  try {
    document = parse(await readFile(path, 'utf8'));
  } catch (err) {
    return Err(`${path}: ${(err as Error).message}`);
  }
  const settings = GatewaySettings.safeParse(document);
  if (settings.success) return Ok(settings.data);
  const errors = settings.error.issues.map(({ path: key, message }) => `${key.join('.')}: ${message}`);
  return Err(`${path}: ${errors.join('; ')}`);
}
