import type TargetRecord from '@guavayard/core/types/TargetRecord';

import compareRecords from './compareRecords';
import type DirectoryEffect from './DirectoryEffect';
import type DirectoryEntry from './DirectoryEntry';
import type DirectoryState from './DirectoryState';
import keepRecord from './keepRecord';

function isHeldBy(entry: DirectoryEntry, name: string): boolean {
  return entry.isLive && entry.record.holder === name;
}

/**
 * Takes a record that another entry told. Older news changes nothing and is answered.
 *
 * @param state - the directory
 * @param from - name of the entry that told it
 * @param record - the record
 * @param nowMs - monotonic clock
 * @returns what to tell other entries
 */
export default function takeRecord(
  state: DirectoryState,
  from: string,
  record: TargetRecord,
  nowMs: number,
): DirectoryEffect[] {
  const targetId = record.announcement.id;
  const known = state.entries.get(targetId);
  const order = known === undefined ? 1 : compareRecords(record, known.record);
  if (known !== undefined && order < 0) return [{ kind: 'reply', to: from, record: known.record }];
  // The same record again, from its holder, vouches for the target; from others it says nothing.
  if (order === 0 && from !== record.holder) return [];
  keepRecord(state, record, nowMs, from === record.holder ? nowMs : -Infinity);
  if (known === undefined || order === 0 || !isHeldBy(known, state.self)) return [];
  // Copies that this entry vouched for must not outlive the loss of the new holder.
  return [{ kind: 'release', targetId, isExpired: false }];
}
