import { createHash } from 'node:crypto';

import { compare } from 'fast-json-patch';

import type Configuration from '../types/Configuration';
import type ConfigurationPatch from '../types/ConfigurationPatch';
import type VersionedConfiguration from '../types/VersionedConfiguration';

const ID_LENGTH = 32;

/**
 * Makes the patch that brings a version to what a declaration says. The id is derived from the
 * patch, so that applying the same declaration to the same version again is a resend.
 *
 * @param current - the configuration to start from
 * @param declared - the configuration that is wanted
 * @returns the patch, without operations if there is nothing to change
 */
export default function createDeclaredPatch(
  current: VersionedConfiguration,
  declared: Configuration,
): ConfigurationPatch {
  const base = current.version;
  const operations = compare(current.configuration, declared) as ConfigurationPatch['operations'];
  const digest = createHash('sha256').update(JSON.stringify({ base, operations })).digest('hex');
  return { id: `declared-${digest.slice(0, ID_LENGTH)}`, base, operations };
}
