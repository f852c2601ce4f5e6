import * as z from 'zod';

import ConsensusMessage from '@guavayard/core/consensus/ConsensusMessage';
import ReplicaId from '@guavayard/core/consensus/ReplicaId';

import ControlCall from '../control/ControlCall';
import ControlResponse from '../control/ControlResponse';

/** Messages between control VMs. */
const consensusMessages = [
  /** A message of the protocol; a replica drops what is meant for an earlier identity of its VM. */
  z.strictObject({
    kind: z.literal('consensus'), from: ReplicaId, to: ReplicaId, message: ConsensusMessage,
  }),
  /** A replica that is no member asks the leader to take it in. */
  z.strictObject({ kind: z.literal('join'), replica: ReplicaId }),
  /** Hands an operator's call to the leader. */
  z.strictObject({ kind: z.literal('controlCall'), callId: z.int(), call: ControlCall }),
  z.strictObject({ kind: z.literal('controlAnswer'), callId: z.int(), answer: ControlResponse }),
] as const;

export default consensusMessages;
