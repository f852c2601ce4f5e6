import type DirectoryState from './DirectoryState';
import directoryTimes from './directoryTimes';

/**
 * Restarts the time to live of the targets of a holder, except for those that it has released.
 *
 * @param state - the directory
 * @param holder - name of the entry that confirms the targets it holds
 * @param nowMs - monotonic clock
 */
export default function confirmTargets(state: DirectoryState, holder: string, nowMs: number): void {
  state.entries.forEach((entry, id) => {
    const { record, isLive, confirmedAtMs } = entry;
    if (!isLive || record.holder !== holder || confirmedAtMs === -Infinity) return;
    const lifeMs = Math.max(record.announcement.timeToLiveMs, directoryTimes.minCopyLifeMs);
    state.entries.set(id, { ...entry, endsAtMs: nowMs + lifeMs, confirmedAtMs: nowMs });
  });
}
