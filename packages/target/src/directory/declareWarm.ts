import type DirectoryEffect from './DirectoryEffect';
import type DirectoryState from './DirectoryState';
import keepRecord from './keepRecord';

/**
 * Takes the owner's finding that a cold target carries its full load. It holds for this start.
 *
 * @param state - the directory of the owner
 * @param targetId - the target
 * @param startId - its start
 * @param nowMs - monotonic clock
 * @returns what to tell other entries; nothing if it is known or the start is over
 */
export default function declareWarm(
  state: DirectoryState,
  targetId: string,
  startId: string,
  nowMs: number,
): DirectoryEffect[] {
  const known = state.entries.get(targetId);
  if (known === undefined || !known.isLive || known.record.isWarm) return [];
  if (known.record.announcement.startId !== startId) return [];
  // The owner holds the target from now on; heartbeats that go elsewhere are passed on to it.
  const record = {
    ...known.record,
    sequence: known.record.sequence + 1,
    claim: 0,
    holder: state.self,
    isWarm: true,
  };
  keepRecord(state, record, nowMs);
  return [{ kind: 'publish', record }];
}
