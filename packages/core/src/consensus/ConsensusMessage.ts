import * as z from 'zod';

import ConsensusSnapshot from './ConsensusSnapshot';
import LogEntry from './LogEntry';

const Index = z.int().min(0);

const voteFields = { term: Index, lastIndex: Index, lastTerm: Index };

/** Message between replicas. */
const ConsensusMessage = z.discriminatedUnion('kind', [
  /** Asks whether an election in `term` could be won. A granted pre-vote is not binding. */
  z.strictObject({ kind: z.literal('preVoteRequest'), ...voteFields }),
  z.strictObject({ kind: z.literal('preVoteAnswer'), term: Index, isGranted: z.boolean() }),
  z.strictObject({ kind: z.literal('voteRequest'), ...voteFields }),
  z.strictObject({ kind: z.literal('voteAnswer'), term: Index, isGranted: z.boolean() }),
  /** AppendEntries, without entries for a heartbeat. A response to its round confirms reads. */
  z.strictObject({
    kind: z.literal('append'),
    term: Index,
    previousIndex: Index,
    previousTerm: Index,
    entries: z.array(LogEntry),
    commitIndex: Index,
    round: Index,
  }),
  z.strictObject({
    kind: z.literal('snapshot'), term: Index, snapshot: ConsensusSnapshot, round: Index,
  }),
  /**
   * Response to AppendEntries or a snapshot. If accepted, the follower's log matches up to
   * `matchIndex`; otherwise the logs may match up to there.
   */
  z.strictObject({
    kind: z.literal('appendAnswer'),
    term: Index,
    isAccepted: z.boolean(),
    matchIndex: Index,
    round: Index,
  }),
]);
type ConsensusMessage = z.infer<typeof ConsensusMessage>;

export default ConsensusMessage;
