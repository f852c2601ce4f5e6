import type ConsensusState from './ConsensusState';
import refreshMembers from './refreshMembers';

/**
 * Drops entries that conflict with the leader's, durably. Committed entries never conflict.
 *
 * @param state - the replica
 * @param fromIndex - index of the first entry to drop
 */
export default function truncateLog(state: ConsensusState, fromIndex: number): void {
  if (fromIndex <= state.commitIndex) {
    throw new Error(`the leader conflicts with the committed entry ${fromIndex}`);
  }
  state.log.length = fromIndex - state.snapshot.lastIndex - 1;
  state.outbox.push({ kind: 'write', record: { kind: 'truncate', fromIndex } });
  refreshMembers(state);
}
