import type TargetRecord from '@guavayard/core/types/TargetRecord';

import type DirectoryEffect from './DirectoryEffect';
import type DirectoryState from './DirectoryState';
import storeRecord from './storeRecord';
import addRetiredStartId from './addRetiredStartId';

/**
 * Withdraws a target. Later announcements of the same incarnation are rejected.
 *
 * @param state - the directory
 * @param targetId - id of the target
 * @param nowMs - monotonic clock
 * @returns updates to send to other entries
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
    retiredStartIds: addRetiredStartId(known),
  };
  storeRecord(state, record, nowMs);
  return [{ kind: 'publish', record }];
}
