import type DirectoryState from './DirectoryState';
import directoryTimes from './directoryTimes';
import clearConfirmations from './clearConfirmations';

/**
 * Handles a release: the holder no longer receives the heartbeats of some targets.
 *
 * @param state - the directory
 * @param holder - name of the entry that released them
 * @param targetIds - ids of the released targets
 * @param isExpired - whether no heartbeat came within their time to live
 * @param nowMs - monotonic clock
 */
export default function releaseTargets(
  state: DirectoryState,
  holder: string,
  targetIds: readonly string[],
  isExpired: boolean,
  nowMs: number,
): void {
  clearConfirmations(state, holder, targetIds);
  if (!isExpired) return;
  targetIds.forEach((id) => {
    const entry = state.entries.get(id);
    if (entry?.record.holder !== holder || !entry.isLive) return;
    const endsAtMs = nowMs + directoryTimes.retentionMs;
    state.entries.set(id, { ...entry, isLive: false, endsAtMs });
    state.changeCount += 1;
  });
}
