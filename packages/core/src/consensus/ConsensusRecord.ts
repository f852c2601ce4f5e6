import * as z from 'zod';

import ConsensusSnapshot from './ConsensusSnapshot';
import LogEntry from './LogEntry';
import ReplicaId from './ReplicaId';

/** Record of a replica's durable log. Records are replayed in the order they were written. */
const ConsensusRecord = z.discriminatedUnion('kind', [
  /** Always the first consensus record of a file. */
  z.strictObject({ kind: z.literal('snapshot'), snapshot: ConsensusSnapshot }),
  z.strictObject({
    kind: z.literal('vote'), term: z.int().min(0), votedFor: ReplicaId.optional(),
  }),
  z.strictObject({ kind: z.literal('append'), entries: z.array(LogEntry) }),
  /** Drops all entries from an index onwards. */
  z.strictObject({ kind: z.literal('truncate'), fromIndex: z.int().min(1) }),
]);
type ConsensusRecord = z.infer<typeof ConsensusRecord>;

export default ConsensusRecord;
