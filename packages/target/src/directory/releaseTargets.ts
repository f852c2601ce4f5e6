import type DirectoryState from './DirectoryState';
import directoryTimes from './directoryTimes';
import unvouchTargets from './unvouchTargets';

/**
 * Takes the news that a holder no longer has the heartbeats of some targets.
 *
 * @param state - the directory
 * @param holder - the entry that tells it
 * @param targetIds - the targets
 * @param isExpired - whether they have been silent for their time to live
 * @param nowMs - monotonic clock
 */
export default function releaseTargets(
  state: DirectoryState,
  holder: string,
  targetIds: readonly string[],
  isExpired: boolean,
  nowMs: number,
): void {
  unvouchTargets(state, holder, targetIds);
  if (!isExpired) return;
  targetIds.forEach((id) => {
    const entry = state.entries.get(id);
    if (entry?.record.holder !== holder || !entry.isLive) return;
    const endsAtMs = nowMs + directoryTimes.retentionMs;
    state.entries.set(id, { ...entry, isLive: false, endsAtMs });
    state.changes += 1;
  });
}
