import type DirectoryState from './DirectoryState';
import directoryTimes from './directoryTimes';

/**
 * Gives the targets of a holder their time to live again, but for those that it has released.
 *
 * @param state - the directory
 * @param holder - name of the entry that vouches for what it holds
 * @param nowMs - monotonic clock
 */
export default function vouchTargets(state: DirectoryState, holder: string, nowMs: number): void {
  state.entries.forEach((entry, id) => {
    const { record, isLive, vouchedAtMs } = entry;
    if (!isLive || record.holder !== holder || vouchedAtMs === -Infinity) return;
    const lifeMs = Math.max(record.announcement.timeToLiveMs, directoryTimes.minCopyLifeMs);
    state.entries.set(id, { ...entry, endsAtMs: nowMs + lifeMs, vouchedAtMs: nowMs });
  });
}
