import type TargetRecord from '@guavayard/core/types/TargetRecord';

import compareRecords from './compareRecords';
import type DirectoryEffect from './DirectoryEffect';
import type DirectoryEntry from './DirectoryEntry';
import type DirectoryState from './DirectoryState';
import storeRecord from './storeRecord';

function isHeldBy(entry: DirectoryEntry, name: string): boolean {
  return entry.isLive && entry.record.holder === name;
}

/**
 * Applies a record received from another entry. An older record is ignored, and the sender gets the
 * newer one in reply.
 *
 * @param state - the directory
 * @param from - name of the entry that sent it
 * @param record - the received record
 * @param nowMs - monotonic clock
 * @returns updates to send to other entries
 */
export default function applyRecord(
  state: DirectoryState,
  from: string,
  record: TargetRecord,
  nowMs: number,
): DirectoryEffect[] {
  const targetId = record.announcement.id;
  const known = state.entries.get(targetId);
  const order = known === undefined ? 1 : compareRecords(record, known.record);
  if (known !== undefined && order < 0) return [{ kind: 'reply', to: from, record: known.record }];
  // A duplicate confirms the target if its holder sent it, and carries no information otherwise.
  if (order === 0 && from !== record.holder) return [];
  storeRecord(state, record, nowMs, from === record.holder ? nowMs : -Infinity);
  if (known === undefined || order === 0 || !isHeldBy(known, state.self)) return [];
  // Copies confirmed by this entry must not outlive the loss of the new holder.
  return [{ kind: 'release', targetId, isExpired: false }];
}
