import type DirectoryEffect from './DirectoryEffect';
import type DirectoryEntry from './DirectoryEntry';
import type DirectoryState from './DirectoryState';
import directoryTimes from './directoryTimes';

function endTarget(
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
  state.changes += 1;
  if (entry.record.holder !== state.self) return [];
  return [{ kind: 'release', targetId: id, isExpired: true }];
}

/**
 * Ends the targets whose time to live has run out, and forgets those that ended long ago.
 *
 * @param state - the directory
 * @param nowMs - monotonic clock
 * @returns what to tell other entries
 */
export default function expireTargets(state: DirectoryState, nowMs: number): DirectoryEffect[] {
  return [...state.entries]
    .filter(([, entry]) => entry.endsAtMs <= nowMs)
    .flatMap(([id, entry]) => endTarget(state, id, entry, nowMs));
}
