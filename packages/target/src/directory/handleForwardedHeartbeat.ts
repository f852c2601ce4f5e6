import type DirectoryState from './DirectoryState';

/**
 * Handles a heartbeat that another entry received for a target held here.
 *
 * @param state - the directory
 * @param targetId - id of the target
 * @param startId - id of its incarnation
 * @param nowMs - monotonic clock
 */
export default function handleForwardedHeartbeat(
  state: DirectoryState,
  targetId: string,
  startId: string,
  nowMs: number,
): void {
  const entry = state.entries.get(targetId);
  if (!entry?.isLive) return;
  const { announcement, holder } = entry.record;
  if (holder !== state.self || announcement.startId !== startId) return;
  state.entries.set(targetId, {
    ...entry, endsAtMs: nowMs + announcement.timeToLiveMs, confirmedAtMs: nowMs,
  });
}
