import type ConsensusState from './ConsensusState';
import refreshMembers from './refreshMembers';

/**
 * Drops entries that conflict with the leader's log and requests a durable record of that.
 *
 * @param state - the replica
 * @param fromIndex - index of the first entry to drop
 * @throws if the entry is committed, which a correct leader never causes
 */
export default function truncateLog(state: ConsensusState, fromIndex: number): void {
  if (fromIndex <= state.commitIndex) {
    throw new Error(`append from the leader conflicts with committed entry ${fromIndex}`);
  }
  state.log.length = fromIndex - state.snapshot.lastIndex - 1;
  state.syncedIndex = Math.min(state.syncedIndex, fromIndex - 1);
  state.outbox.push({ kind: 'write', record: { kind: 'truncate', fromIndex } });
  refreshMembers(state);
}
