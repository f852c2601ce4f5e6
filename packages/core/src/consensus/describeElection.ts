import type ConsensusState from './ConsensusState';
import type ElectionState from './ElectionState';
import findLastIndex from './findLastIndex';

/**
 * Describes what decides whether a replica can be elected, for the log.
 *
 * @param state - the replica
 * @returns its term, log, members and votes
 */
export default function describeElection(state: ConsensusState): ElectionState {
  const {
    role, term, commitIndex, members: { voters, learners }, votes,
  } = state;
  return {
    role,
    term,
    lastIndex: findLastIndex(state),
    commitIndex,
    voters,
    learners,
    votes: [...votes],
  };
}
