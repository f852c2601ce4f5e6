import type ConsensusState from './ConsensusState';
import estimateEntryBytes from './estimateEntryBytes';

/** Number of committed entries since the snapshot from which on the log is compacted. */
const MAX_ENTRIES = 256;
/** Estimated size of committed entries from which on the log is compacted, in bytes. */
const MAX_BYTES = 16 * 1024 * 1024;

/**
 * Decides whether committed entries should be replaced by a snapshot: a start replays them, and
 * they are in memory.
 *
 * @param state - the replica
 * @returns true if the committed entries are many or large
 */
export default function isCompactionDue(state: ConsensusState): boolean {
  const count = state.commitIndex - state.snapshot.lastIndex;
  if (count >= MAX_ENTRIES) return true;
  let bytes = 0;
  return state.log.slice(0, count).some((entry) => {
    bytes += estimateEntryBytes(entry);
    return bytes >= MAX_BYTES;
  });
}
