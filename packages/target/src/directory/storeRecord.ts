import type TargetRecord from '@guavayard/core/types/TargetRecord';

import type DirectoryState from './DirectoryState';
import directoryTimes from './directoryTimes';

/**
 * Stores a record in place of the known one and restarts its time to live.
 *
 * @param state - the directory
 * @param record - the newer record
 * @param nowMs - monotonic clock
 * @param confirmedAtMs - when the holder confirmed it; -Infinity if another entry sent it
 */
export default function storeRecord(
  state: DirectoryState,
  record: TargetRecord,
  nowMs: number,
  confirmedAtMs = nowMs,
): void {
  const { id, timeToLiveMs } = record.announcement;
  const isLive = !record.isWithdrawn;
  const lifeMs = record.holder === state.self
    ? timeToLiveMs
    : Math.max(timeToLiveMs, directoryTimes.minCopyLifeMs);
  const endsAtMs = nowMs + (isLive ? lifeMs : directoryTimes.retentionMs);
  state.entries.set(id, {
    record, isLive, endsAtMs, confirmedAtMs,
  });
  state.changeCount += 1;
}
