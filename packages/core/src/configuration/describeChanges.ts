import { getValueByPointer } from 'fast-json-patch';

import type Configuration from '../types/Configuration';
import type ConfigurationPatch from '../types/ConfigurationPatch';
import type PatchOperation from '../types/PatchOperation';

function describeOperation(configuration: Configuration, operation: PatchOperation): string {
  const { op, path } = operation;
  const value = 'value' in operation ? JSON.stringify(operation.value) : '';
  if (op === 'add') return `+ ${path}: ${value}`;
  const before = JSON.stringify(getValueByPointer(configuration, path));
  return op === 'remove' ? `- ${path}: ${before}` : `~ ${path}: ${before} -> ${value}`;
}

/**
 * Describes the operations of a patch in a diff-like format.
 *
 * @param configuration - the configuration that the patch was created for
 * @param patch - a patch with only `add`, `remove` and `replace` operations
 * @returns one line per operation, prefixed by `+`, `-` or `~`
 */
export default function describeChanges(
  configuration: Configuration,
  patch: ConfigurationPatch,
): string[] {
  return patch.operations.map((operation) => describeOperation(configuration, operation));
}
