import appendCommand from './appendCommand';
import type ConsensusState from './ConsensusState';
import findRemovableVoter from './findRemovableVoter';
import findUnavailableVoters from './findUnavailableVoters';
import isMember from './isMember';
import type Members from './Members';
import type ReplicaId from './ReplicaId';
import timing from './timing';
import vmNameOf from './vmNameOf';

const MAX_VOTERS = 7;
/** Number of committed entries that a learner may lack when it becomes a voter. */
const MAX_MISSING_ENTRIES = 64;

function isReachable(state: ConsensusState, replica: ReplicaId): boolean {
  const { lastContactAtMs = -Infinity } = state.progress.get(replica) ?? {};
  return state.nowMs - lastContactAtMs < timing.electionMinMs;
}

/**
 * Returns whether a learner holds all that was in the log when it joined, and nearly all since.
 * Under continuous writes it may never hold every committed entry at the same moment as the leader.
 */
function isCaughtUp(state: ConsensusState, replica: ReplicaId): boolean {
  const progress = state.progress.get(replica);
  if (progress === undefined) return false;
  const missing = state.commitIndex - progress.matchIndex;
  return isReachable(state, replica) && progress.matchIndex >= progress.initialLastIndex
    && missing <= MAX_MISSING_ENTRIES;
}

/** Adds a replica that asks to join, and removes the former member of its VM. */
function addLearner(state: ConsensusState): Members | undefined {
  const { joining, members } = state;
  state.joining = undefined;
  if (joining === undefined || isMember(members, joining)) return undefined;
  if (vmNameOf(joining) === vmNameOf(state.self)) return undefined;
  const others = members.learners.filter((learner) => vmNameOf(learner) !== vmNameOf(joining));
  // A delayed request of a former member must not remove the one that runs.
  const former = members.voters
    .find((voter) => vmNameOf(voter) === vmNameOf(joining) && !isReachable(state, voter));
  return {
    voters: members.voters.filter((voter) => voter !== former),
    learners: [...others, joining],
  };
}

function removeVoter(
  { members: { voters, learners } }: ConsensusState,
  removed: ReplicaId | undefined,
): Members | undefined {
  if (removed === undefined) return undefined;
  return { learners, voters: voters.filter((voter) => voter !== removed) };
}

/** Finds a silent voter whose VM has a learner that responds, so that it can never vote again. */
function findReplacedVoter(state: ConsensusState): ReplicaId | undefined {
  const { voters, learners } = state.members;
  const running = learners.filter((learner) => isReachable(state, learner)).map(vmNameOf);
  return voters.find((voter) => running.includes(vmNameOf(voter)) && !isReachable(state, voter));
}

function promoteLearner(state: ConsensusState): Members | undefined {
  const { voters, learners } = state.members;
  const learner = learners.find((candidate) => isCaughtUp(state, candidate));
  if (learner === undefined) return undefined;
  const former = voters.find((voter) => vmNameOf(voter) === vmNameOf(learner));
  // The previous identity of the VM is removed first, because it can never vote again.
  if (former !== undefined) return removeVoter(state, former);
  if (voters.length >= MAX_VOTERS) return removeVoter(state, findUnavailableVoters(state)[0]);
  return {
    voters: [...voters, learner],
    learners: learners.filter((candidate) => candidate !== learner),
  };
}

/**
 * Appends the next membership change, if one is due. Changes are made one at a time and add or
 * remove a single replica, so that the quorums before and after a change always overlap.
 *
 * @param state - the leader
 * @returns true if a membership change was appended
 */
export default function maintainMembers(state: ConsensusState): boolean {
  if (state.commitIndex < Math.max(state.termStartIndex, state.membersIndex)) return false;
  const members = addLearner(state) ?? removeVoter(state, findReplacedVoter(state))
    ?? promoteLearner(state) ?? removeVoter(state, findRemovableVoter(state));
  if (members === undefined) return false;
  appendCommand(state, { kind: 'members', members });
  return true;
}
