import type DirectoryState from './DirectoryState';

/**
 * Takes a heartbeat that another entry got for a target held here.
 *
 * @param state - the directory
 * @param targetId - the target
 * @param startId - its start
 * @param nowMs - monotonic clock
 */
export default function takeForwardedHeartbeat(
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
    ...entry, endsAtMs: nowMs + announcement.timeToLiveMs, vouchedAtMs: nowMs,
  });
}
