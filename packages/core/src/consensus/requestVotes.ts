import type ConsensusState from './ConsensusState';
import findLastIndex from './findLastIndex';
import findTerm from './findTerm';
import send from './send';
import timing from './timing';

/**
 * Requests votes or pre-votes from all voters that have not granted theirs.
 *
 * @param state - the candidate or pre-candidate
 * @param kind - whether to request votes or non-binding pre-votes
 * @param term - the term of the election
 */
export default function requestVotes(
  state: ConsensusState,
  kind: 'preVoteRequest' | 'voteRequest',
  term: number,
): void {
  const lastIndex = findLastIndex(state);
  const lastTerm = findTerm(state, lastIndex) ?? 0;
  state.requestDueMs = state.nowMs + timing.voteResendMs;
  state.members.voters.filter((voter) => !state.votes.has(voter)).forEach((voter) => {
    send(state, voter, {
      kind, term, lastIndex, lastTerm,
    });
  });
}
