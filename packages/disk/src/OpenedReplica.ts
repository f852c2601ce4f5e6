import type DurableState from '@guavayard/core/consensus/DurableState';
import type ReplicaId from '@guavayard/core/consensus/ReplicaId';

import type ReplicaLog from './ReplicaLog';

/** Replica restored from its data folder, with the log to append to. */
interface OpenedReplica {
  readonly replica: ReplicaId;
  readonly durable: DurableState;
  readonly log: ReplicaLog;
}

export default OpenedReplica;
