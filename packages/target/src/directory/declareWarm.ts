import type DirectoryEffect from './DirectoryEffect';
import type DirectoryState from './DirectoryState';
import storeRecord from './storeRecord';

/**
 * Records that the owner has found a cold target warm, that is, able to carry its full load. This
 * applies to the current incarnation only.
 *
 * @param state - the directory of the owner
 * @param targetId - id of the target
 * @param startId - id of its incarnation
 * @param nowMs - monotonic clock
 * @returns updates to send to other entries; none if the target is already warm or the
 *   incarnation has ended
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
  // The owner becomes the holder; other entries forward the heartbeats they receive to it.
  const record = {
    ...known.record,
    sequence: known.record.sequence + 1,
    claim: 0,
    holder: state.self,
    isWarm: true,
  };
  storeRecord(state, record, nowMs);
  return [{ kind: 'publish', record }];
}
