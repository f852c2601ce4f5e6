import type ConsensusState from './ConsensusState';
import findLastIndex from './findLastIndex';
import findTerm from './findTerm';
import send from './send';

/**
 * Asks all other voters for their vote.
 *
 * @param state - the candidate
 * @param kind - a vote, or the question whether it would be given
 * @param term - the term of the election
 */
export default function requestVotes(
  state: ConsensusState,
  kind: 'preVoteRequest' | 'voteRequest',
  term: number,
): void {
  const lastIndex = findLastIndex(state);
  const lastTerm = findTerm(state, lastIndex) ?? 0;
  state.members.voters.filter((voter) => voter !== state.self).forEach((voter) => {
    send(state, voter, {
      kind, term, lastIndex, lastTerm,
    });
  });
}
