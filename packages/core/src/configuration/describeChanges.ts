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
 * Describes what a patch changes.
 *
 * @param configuration - the configuration that it was made for
 * @param patch - a patch that adds, removes and replaces only
 * @returns one line for each operation, marked `+`, `-` or `~`
 */
export default function describeChanges(
  configuration: Configuration,
  patch: ConfigurationPatch,
): string[] {
  return patch.operations.map((operation) => describeOperation(configuration, operation));
}
