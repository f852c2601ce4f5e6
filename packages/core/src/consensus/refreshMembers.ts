import type ConsensusState from './ConsensusState';

/**
 * Sets the members to the latest ones in the log, or else to those of the snapshot.
 *
 * @param state - the replica
 */
export default function refreshMembers(state: ConsensusState): void {
  const entry = state.log.findLast(({ command }) => command.kind === 'members');
  if (entry?.command.kind === 'members') {
    state.members = entry.command.members;
    state.membersIndex = entry.index;
    return;
  }
  state.members = state.snapshot.members;
  state.membersIndex = state.snapshot.lastIndex;
}
