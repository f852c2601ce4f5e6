import * as z from 'zod';

import ConsensusMessage from '@guavayard/core/consensus/ConsensusMessage';
import ReplicaId from '@guavayard/core/consensus/ReplicaId';

import ControlCall from '../control/ControlCall';
import ControlResponse from '../control/ControlResponse';

/** Messages between control VMs. */
const consensusMessages = [
  /** A Raft message. A replica drops messages to an earlier replica id of its VM. */
  z.strictObject({
    kind: z.literal('consensus'), from: ReplicaId, to: ReplicaId, message: ConsensusMessage,
  }),
  /** A replica that is not a member asks the leader to add it to the group. */
  z.strictObject({ kind: z.literal('join'), replica: ReplicaId }),
  /** A replica asks the leader to do without it, as its process is stopping. From version 2 on. */
  z.strictObject({ kind: z.literal('leave'), replica: ReplicaId }),
  /** The leader tells a replica that leaves that it may stop. From version 2 on. */
  z.strictObject({ kind: z.literal('left'), replica: ReplicaId }),
  /** Forwards a call of the operators' API to the leader. */
  z.strictObject({ kind: z.literal('controlCall'), callId: z.int(), call: ControlCall }),
  z.strictObject({ kind: z.literal('controlAnswer'), callId: z.int(), answer: ControlResponse }),
] as const;

export default consensusMessages;
