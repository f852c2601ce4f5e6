import type DurableState from '@guavayard/core/consensus/DurableState';
import type ReplicaId from '@guavayard/core/consensus/ReplicaId';

import type ReplicaLog from './ReplicaLog';

/** A replica as its data folder holds it. */
interface OpenedReplica {
  readonly replica: ReplicaId;
  readonly durable: DurableState;
  readonly log: ReplicaLog;
}

export default OpenedReplica;
