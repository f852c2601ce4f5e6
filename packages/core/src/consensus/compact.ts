import type ConfigurationSnapshot from '../configuration/ConfigurationSnapshot';
import type ConsensusState from './ConsensusState';
import findTerm from './findTerm';
import type Members from './Members';
import refreshMembers from './refreshMembers';

function findMembersAt(state: ConsensusState, index: number): Members {
  const entry = state.log
    .findLast((candidate) => candidate.index <= index && candidate.command.kind === 'members');
  return entry?.command.kind === 'members' ? entry.command.members : state.snapshot.members;
}

/**
 * Replaces the entries up to an applied index by a snapshot.
 *
 * @param state - the replica
 * @param index - index of the last entry included in the data
 * @param data - state after all entries up to the index
 */
export default function compact(
  state: ConsensusState,
  index: number,
  data: ConfigurationSnapshot,
): void {
  const lastTerm = findTerm(state, index);
  if (index <= state.snapshot.lastIndex || index > state.commitIndex) return;
  if (lastTerm === undefined) return;
  const snapshot = {
    lastIndex: index, lastTerm, members: findMembersAt(state, index), data,
  };
  state.log = state.log.slice(index - state.snapshot.lastIndex);
  state.snapshot = snapshot;
  refreshMembers(state);
  state.outbox.push({ kind: 'write', record: { kind: 'snapshot', snapshot } });
}
