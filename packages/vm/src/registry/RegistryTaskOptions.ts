import type Logger from 'bunyan';

import type ConsensusStore from '@guavayard/core/consensus/ConsensusStore';
import type DurableState from '@guavayard/core/consensus/DurableState';
import type ReplicaId from '@guavayard/core/consensus/ReplicaId';
import type Clock from '@guavayard/core/types/Clock';
import type Random from '@guavayard/core/types/Random';

import type RolloutLimits from '../rollouts/RolloutLimits';
import type VmHub from '../session/VmHub';
import type VmIdentity from '../session/VmIdentity';

/** Dependencies and settings of the registry of one control VM. */
interface RegistryTaskOptions {
  readonly replica: ReplicaId;
  readonly durable: DurableState;
  readonly store: ConsensusStore;
  readonly hub: VmHub;
  readonly identity: VmIdentity;
  readonly log: Logger;
  readonly clock: Clock;
  /** Monotonic clock that counts the time for which the VM was suspended. */
  readonly elapsedClock: Clock;
  readonly random: Random;
  /** Addresses at which the other control VMs are first contacted. */
  readonly seeds: readonly string[];
  /** Number of voters required before a system without a declaration accepts any change. */
  readonly requiredVoters: number;
  /** Time without an announcement after which a target is expired, in milliseconds. */
  readonly targetTimeoutMs: number;
  /** Names of the data centres of the system; undefined if any name is taken. */
  readonly dataCentres: ReadonlySet<string> | undefined;
  /** Time of day, in milliseconds since 1970. */
  readonly timeOfDay: () => number;
  /**
   * Creates what entries get in place of the source of a declaration; by default they get nothing
   * of it.
   */
  readonly createEntrySource?: (source: string) => string;
  /** Limits of roll-outs; undefined if the system has none. */
  readonly rollout: RolloutLimits | undefined;
  /** Called when the replica has stopped, as its state may differ from its log. */
  readonly onFailure: (err: Error) => void;
}

export default RegistryTaskOptions;
