import type Random from '../types/Random';
import type ConsensusState from './ConsensusState';
import drawElectionDeadline from './drawElectionDeadline';
import type DurableState from './DurableState';
import findLastIndex from './findLastIndex';
import refreshMembers from './refreshMembers';
import type ReplicaId from './ReplicaId';
import timing from './timing';

/** The smallest group that survives the loss of a voter. */
const MIN_VOTERS = 3;

/**
 * Creates the state of a replica that is starting.
 *
 * @param self - identity of the replica
 * @param durable - state restored from its disk
 * @param nowMs - monotonic clock, in milliseconds
 * @param random - randomizes the election timeouts
 * @param requiredVoters - number of voters that the group needs to survive the promised losses
 * @returns a follower without a known leader
 */
export default function createConsensusState(
  self: ReplicaId,
  durable: DurableState,
  nowMs: number,
  random: Random,
  requiredVoters = MIN_VOTERS,
): ConsensusState {
  const state: ConsensusState = {
    ...durable,
    self,
    random,
    nowMs,
    members: durable.snapshot.members,
    membersIndex: durable.snapshot.lastIndex,
    commitIndex: durable.snapshot.lastIndex,
    syncsLate: false,
    syncedIndex: findLastIndex(durable),
    unsyncedVotes: 0,
    slowSyncMs: 0,
    role: 'follower',
    leader: undefined,
    lastLeader: undefined,
    leaderContactAtMs: nowMs - timing.electionMaxMs,
    electionDeadlineMs: 0,
    startedAtMs: nowMs,
    hasSeenLeader: false,
    hasCaughtUp: false,
    votes: new Set(),
    progress: new Map(),
    termStartIndex: 0,
    heartbeatDueMs: 0,
    requestDueMs: 0,
    round: 0,
    reads: [],
    joining: undefined,
    leaving: new Set(),
    requiredVoters: Math.max(MIN_VOTERS, requiredVoters),
    outbox: [],
  };
  refreshMembers(state);
  const isSoleVoter = state.members.voters.every((voter) => voter === self);
  // A sole voter need not wait for another leader, so its election is due at once.
  state.electionDeadlineMs = isSoleVoter ? nowMs : drawElectionDeadline(state);
  return state;
}
