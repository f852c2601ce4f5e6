import type Random from '../types/Random';
import type ConsensusEffect from './ConsensusEffect';
import type ConsensusSnapshot from './ConsensusSnapshot';
import type LogEntry from './LogEntry';
import type Members from './Members';
import type PendingRead from './PendingRead';
import type Progress from './Progress';
import type ReplicaId from './ReplicaId';

/** State of one replica. Term, vote, snapshot and log are durable; the rest is volatile. */
interface ConsensusState {
  readonly self: ReplicaId;
  readonly random: Random;
  nowMs: number;
  term: number;
  votedFor: ReplicaId | undefined;
  snapshot: ConsensusSnapshot;
  /** Entries after the snapshot, without gaps. */
  log: LogEntry[];
  /** The latest members in the log, whether committed or not. */
  members: Members;
  /** Index of the entry that set `members`. */
  membersIndex: number;
  commitIndex: number;
  /**
   * Whether events are processed while writes are in progress, which `synced` events report.
   * Otherwise all writes of a step are synced before the next one.
   */
  syncsLate: boolean;
  /** Index up to which the log is known to be synced. */
  syncedIndex: number;
  /** Number of records of the term and the vote that are not synced. */
  unsyncedVotes: number;
  /** Duration of the last sync of a term or vote, in milliseconds; 0 if it was not slow. */
  slowSyncMs: number;
  role: 'follower' | 'preCandidate' | 'candidate' | 'leader';
  leader: ReplicaId | undefined;
  /** The leader that this process heard last. */
  lastLeader: ReplicaId | undefined;
  leaderContactAtMs: number;
  electionDeadlineMs: number;
  /** When this process joined the protocol, in milliseconds. */
  readonly startedAtMs: number;
  /** Whether any leader has been known since `startedAtMs`. */
  hasSeenLeader: boolean;
  /**
   * Whether this process has known all that was committed before the term of some leader. Until
   * then its state may be as old as its snapshot.
   */
  hasCaughtUp: boolean;
  /** Voters that have granted the current pre-vote or vote. */
  votes: Set<ReplicaId>;
  /** Replication progress of the other replicas; maintained only by the leader. */
  progress: Map<ReplicaId, Progress>;
  /** Index of the no-op entry that the leader appended when its term began. */
  termStartIndex: number;
  heartbeatDueMs: number;
  /** When a candidate requests votes again. */
  requestDueMs: number;
  round: number;
  reads: PendingRead[];
  joining: ReplicaId | undefined;
  /** Replicas whose processes are stopping. */
  readonly leaving: Set<ReplicaId>;
  /** Number of voters below which no voter is removed without a replacement. */
  readonly requiredVoters: number;
  /** Effects of the current step. */
  outbox: ConsensusEffect[];
}

export default ConsensusState;
