import type TargetRecord from '@guavayard/core/types/TargetRecord';

import type DirectoryState from './DirectoryState';
import directoryTimes from './directoryTimes';

/**
 * Puts a record in place of the one known, with its full time to live.
 *
 * @param state - the directory
 * @param record - the newer record
 * @param nowMs - monotonic clock
 * @param vouchedAtMs - when the holder vouched for it; -Infinity if another entry told it
 */
export default function keepRecord(
  state: DirectoryState,
  record: TargetRecord,
  nowMs: number,
  vouchedAtMs = nowMs,
): void {
  const { id, timeToLiveMs } = record.announcement;
  const isLive = !record.isWithdrawn;
  const lifeMs = record.holder === state.self
    ? timeToLiveMs
    : Math.max(timeToLiveMs, directoryTimes.minCopyLifeMs);
  const endsAtMs = nowMs + (isLive ? lifeMs : directoryTimes.retentionMs);
  state.entries.set(id, {
    record, isLive, endsAtMs, vouchedAtMs,
  });
  state.changes += 1;
}
