import type TargetRecord from '@guavayard/core/types/TargetRecord';

import type DirectoryEffect from './DirectoryEffect';
import type DirectoryState from './DirectoryState';
import takeRecord from './takeRecord';
import unvouchTargets from './unvouchTargets';

/**
 * Takes the complete list of what another entry holds. What was known to be held by that entry and
 * is not in the list is no longer vouched for.
 *
 * @param state - the directory
 * @param from - name of the entry
 * @param records - all that it holds
 * @param nowMs - monotonic clock
 * @returns what to tell other entries
 */
export default function takeHeldRecords(
  state: DirectoryState,
  from: string,
  records: readonly TargetRecord[],
  nowMs: number,
): DirectoryEffect[] {
  unvouchTargets(state, from);
  return records.flatMap((record) => takeRecord(state, from, record, nowMs));
}
