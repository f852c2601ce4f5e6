import type ConsensusStore from '@guavayard/core/consensus/ConsensusStore';
import type DurableState from '@guavayard/core/consensus/DurableState';
import type ReplicaId from '@guavayard/core/consensus/ReplicaId';
import type Clock from '@guavayard/core/types/Clock';
import type Random from '@guavayard/core/types/Random';

import type VmHub from '../session/VmHub';
import type ConsensusListener from './ConsensusListener';

/** What a replica is made of. */
interface ConsensusTaskOptions {
  readonly replica: ReplicaId;
  readonly durable: DurableState;
  readonly store: ConsensusStore;
  readonly hub: VmHub;
  readonly listener: ConsensusListener;
  readonly clock: Clock;
  readonly random: Random;
  /** The disk failed; the replica has stopped, for it can promise nothing any more. */
  readonly onDiskFailure: (err: Error) => void;
}

export default ConsensusTaskOptions;
