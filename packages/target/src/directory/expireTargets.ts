import type DirectoryEffect from './DirectoryEffect';
import type DirectoryEntry from './DirectoryEntry';
import type DirectoryState from './DirectoryState';
import directoryTimes from './directoryTimes';

function expireTarget(
  state: DirectoryState,
  id: string,
  entry: DirectoryEntry,
  nowMs: number,
): DirectoryEffect[] {
  if (!entry.isLive) {
    state.entries.delete(id);
    return [];
  }
  const endsAtMs = nowMs + directoryTimes.retentionMs;
  state.entries.set(id, { ...entry, isLive: false, endsAtMs });
  state.changeCount += 1;
  if (entry.record.holder !== state.self) return [];
  return [{ kind: 'release', targetId: id, isExpired: true }];
}

/**
 * Expires targets whose time to live has elapsed, and deletes records past their retention time.
 *
 * @param state - the directory
 * @param nowMs - monotonic clock
 * @returns updates to send to other entries
 */
export default function expireTargets(state: DirectoryState, nowMs: number): DirectoryEffect[] {
  return [...state.entries]
    .filter(([, entry]) => entry.endsAtMs <= nowMs)
    .flatMap(([id, entry]) => expireTarget(state, id, entry, nowMs));
}
