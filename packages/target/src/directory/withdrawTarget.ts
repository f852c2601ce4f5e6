import type TargetRecord from '@guavayard/core/types/TargetRecord';

import type DirectoryEffect from './DirectoryEffect';
import type DirectoryState from './DirectoryState';
import keepRecord from './keepRecord';
import retireStart from './retireStart';

/**
 * Takes a target's withdrawal, after which its start is never taken again.
 *
 * @param state - the directory
 * @param targetId - the target
 * @param nowMs - monotonic clock
 * @returns what to tell other entries
 */
export default function withdrawTarget(
  state: DirectoryState,
  targetId: string,
  nowMs: number,
): DirectoryEffect[] {
  const known = state.entries.get(targetId)?.record;
  if (known === undefined || known.isWithdrawn) return [];
  const record: TargetRecord = {
    ...known,
    sequence: known.sequence + 1,
    claim: 0,
    holder: state.self,
    isWithdrawn: true,
    retiredStartIds: retireStart(known),
  };
  keepRecord(state, record, nowMs);
  return [{ kind: 'publish', record }];
}
