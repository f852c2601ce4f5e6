import becomeFollower from './becomeFollower';
import broadcast from './broadcast';
import type ConsensusState from './ConsensusState';
import isQuorum from './isQuorum';
import isVoter from './isVoter';
import requestVotes from './requestVotes';
import startPreVote from './startPreVote';
import timing from './timing';

function hasQuorumContact(state: ConsensusState): boolean {
  return isQuorum(state.members, (voter) => {
    if (voter === state.self) return true;
    const progress = state.progress.get(voter);
    if (progress === undefined) return false;
    return state.nowMs - progress.lastContactAtMs < timing.electionMaxMs;
  });
}

/**
 * Performs what is due: sends heartbeats, starts an election, or steps down as leader without
 * contact to a quorum (check-quorum).
 *
 * @param state - the replica
 */
export default function tick(state: ConsensusState): void {
  if (state.role === 'leader') {
    if (!hasQuorumContact(state)) becomeFollower(state, state.term, undefined);
    else if (state.nowMs >= state.heartbeatDueMs) broadcast(state);
    return;
  }
  // Until its vote is synced, a replica cannot take part in another election.
  if (state.unsyncedVotes > 0) return;
  const canStand = isVoter(state) && !state.leaving.has(state.self);
  if (state.nowMs >= state.electionDeadlineMs && canStand) startPreVote(state);
  else if (state.role === 'candidate' && state.nowMs >= state.requestDueMs) {
    requestVotes(state, 'voteRequest', state.term);
  }
}
