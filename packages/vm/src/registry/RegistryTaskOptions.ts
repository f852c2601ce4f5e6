import type Logger from 'bunyan';

import type ConsensusStore from '@guavayard/core/consensus/ConsensusStore';
import type DurableState from '@guavayard/core/consensus/DurableState';
import type ReplicaId from '@guavayard/core/consensus/ReplicaId';
import type Clock from '@guavayard/core/types/Clock';
import type Random from '@guavayard/core/types/Random';

import type VmHub from '../session/VmHub';
import type VmIdentity from '../session/VmIdentity';

/** What the registry of one control VM is made of. */
interface RegistryTaskOptions {
  readonly replica: ReplicaId;
  readonly durable: DurableState;
  readonly store: ConsensusStore;
  readonly hub: VmHub;
  readonly identity: VmIdentity;
  readonly log: Logger;
  readonly clock: Clock;
  readonly random: Random;
  /** Addresses at which other control VMs may be found. */
  readonly seeds: readonly string[];
  /** Voters without which nothing is accepted in a system that has no declaration yet. */
  readonly requiredVoters: number;
  /** Silence after which a target is taken to be gone, in milliseconds. */
  readonly targetSilenceMs: number;
  readonly onDiskFailure: (err: Error) => void;
}

export default RegistryTaskOptions;
