import { createHash } from 'node:crypto';

import { compare } from 'fast-json-patch';

import type Configuration from '../types/Configuration';
import type ConfigurationPatch from '../types/ConfigurationPatch';
import type VersionedConfiguration from '../types/VersionedConfiguration';

const DIGEST_LENGTH = 32;

/**
 * Creates the patch that turns the current configuration into the declared one. The id is derived
 * from the content of the patch, so applying a declaration to the same version again is idempotent.
 *
 * @param current - the configuration to start from
 * @param declared - the desired configuration
 * @returns the patch, without operations if nothing differs
 */
export default function createDeclaredPatch(
  current: VersionedConfiguration,
  declared: Configuration,
): ConfigurationPatch {
  const base = current.version;
  const operations = compare(current.configuration, declared) as ConfigurationPatch['operations'];
  const digest = createHash('sha256').update(JSON.stringify({ base, operations })).digest('hex');
  return { id: `declared-${digest.slice(0, DIGEST_LENGTH)}`, base, operations };
}
