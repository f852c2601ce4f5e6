import appendEntries from './appendEntries';
import type Command from './Command';
import type ConsensusState from './ConsensusState';
import findLastIndex from './findLastIndex';

/**
 * Appends a command to the leader's log.
 *
 * @param state - the leader
 * @param command - the command to replicate
 * @returns the index of its entry
 */
export default function appendCommand(state: ConsensusState, command: Command): number {
  const index = findLastIndex(state) + 1;
  appendEntries(state, [{ index, term: state.term, command }]);
  return index;
}
