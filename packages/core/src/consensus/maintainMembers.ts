import appendCommand from './appendCommand';
import type ConsensusState from './ConsensusState';
import isMember from './isMember';
import type Members from './Members';
import type ReplicaId from './ReplicaId';
import timing from './timing';
import vmNameOf from './vmNameOf';

const MAX_VOTERS = 7;
const MIN_VOTERS = 3;

function isCaughtUp(state: ConsensusState, replica: ReplicaId): boolean {
  const progress = state.progress.get(replica);
  if (progress === undefined) return false;
  const isHeard = state.nowMs - progress.heardAtMs < timing.electionMinMs;
  return isHeard && progress.matchIndex >= state.commitIndex;
}

function addLearner(state: ConsensusState): Members | undefined {
  const { joining, members } = state;
  state.joining = undefined;
  if (joining === undefined || isMember(members, joining)) return undefined;
  if (vmNameOf(joining) === vmNameOf(state.self)) return undefined;
  const others = members.learners.filter((learner) => vmNameOf(learner) !== vmNameOf(joining));
  return { voters: members.voters, learners: [...others, joining] };
}

function promoteLearner(state: ConsensusState): Members | undefined {
  const { voters, learners } = state.members;
  const learner = learners.find((candidate) => isCaughtUp(state, candidate));
  if (learner === undefined) return undefined;
  const lost = voters.find((voter) => vmNameOf(voter) === vmNameOf(learner));
  // The identity that the VM had before goes first: it will never vote again.
  if (lost !== undefined) return { learners, voters: voters.filter((voter) => voter !== lost) };
  if (voters.length >= MAX_VOTERS) return undefined;
  return {
    voters: [...voters, learner],
    learners: learners.filter((candidate) => candidate !== learner),
  };
}

/** A replacement makes the voters an even number; the one that is gone for good then goes. */
function removeLostVoter(state: ConsensusState): Members | undefined {
  const { voters, learners } = state.members;
  if (voters.length <= MIN_VOTERS || voters.length % 2 !== 0) return undefined;
  const lost = voters.find((voter) => {
    const heardAtMs = state.progress.get(voter)?.heardAtMs;
    return voter !== state.self && heardAtMs !== undefined
      && state.nowMs - heardAtMs >= timing.lostVoterMs;
  });
  if (lost === undefined) return undefined;
  return { learners, voters: voters.filter((voter) => voter !== lost) };
}

/**
 * Makes the next change of members, if one is due. Changes are made one at a time, each by one
 * replica, so that the quorums before and after it have a voter in common.
 *
 * @param state - the leader
 * @returns true if a change was appended
 */
export default function maintainMembers(state: ConsensusState): boolean {
  if (state.commitIndex < Math.max(state.termStartIndex, state.membersIndex)) return false;
  const members = addLearner(state) ?? promoteLearner(state) ?? removeLostVoter(state);
  if (members === undefined) return false;
  appendCommand(state, { kind: 'members', members });
  return true;
}
