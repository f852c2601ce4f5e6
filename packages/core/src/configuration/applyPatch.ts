import { applyPatch as applyOperations, deepClone, type Operation } from 'fast-json-patch';
import { Ok, type Result } from 'ts-results';

import fail from '../errors/fail';
import type Failure from '../errors/Failure';
import Configuration from '../types/Configuration';
import type ConfigurationPatch from '../types/ConfigurationPatch';
import describeIssues from '../types/describeIssues';
import type VersionedConfiguration from '../types/VersionedConfiguration';
import findDanglingReferences from './findDanglingReferences';

function applyAll(document: Configuration, patch: ConfigurationPatch): Result<unknown, Failure> {
  try {
    const operations = patch.operations as Operation[];
    return Ok(applyOperations(deepClone(document), operations, true).newDocument as unknown);
  } catch (err) {
    const { name, index } = err as { name: string; index?: number };
    const pointer = index === undefined ? '' : ` at ${patch.operations[index]?.path}`;
    return fail('invalidPatch', `operation ${String(index)}${pointer}: ${name}`);
  }
}

/**
 * Applies a patch to the configuration version it was created for.
 *
 * @param current - the current configuration
 * @param patch - the patch; its base must be the current version
 * @returns the next version, or `versionConflict` or `invalidPatch`
 */
export default function applyPatch(
  current: VersionedConfiguration,
  patch: ConfigurationPatch,
): Result<VersionedConfiguration, Failure> {
  if (patch.base !== current.version) {
    return fail('versionConflict', `base ${patch.base}, current ${current.version}`);
  }
  const document = applyAll(current.configuration, patch);
  if (document.err) return document;
  const parsed = Configuration.safeParse(document.val);
  if (!parsed.success) {
    return fail('invalidPatch', describeIssues(parsed.error, document.val).join('; '));
  }
  const dangling = findDanglingReferences(parsed.data);
  if (dangling.length > 0) return fail('invalidPatch', dangling.join('; '));
  return Ok({ version: current.version + 1, configuration: parsed.data });
}
