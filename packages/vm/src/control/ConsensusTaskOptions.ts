import type ConsensusStore from '@guavayard/core/consensus/ConsensusStore';
import type DurableState from '@guavayard/core/consensus/DurableState';
import type ReplicaId from '@guavayard/core/consensus/ReplicaId';
import type Clock from '@guavayard/core/types/Clock';
import type Random from '@guavayard/core/types/Random';

import type VmHub from '../session/VmHub';
import type ConsensusListener from './ConsensusListener';

/** Dependencies of a replica. */
interface ConsensusTaskOptions {
  readonly replica: ReplicaId;
  readonly durable: DurableState;
  readonly store: ConsensusStore;
  readonly hub: VmHub;
  readonly listener: ConsensusListener;
  readonly clock: Clock;
  readonly random: Random;
  /** Number of voters that the group needs to survive the promised losses; by default 3. */
  readonly requiredVoters?: number;
  /** Called with the reason when a command is refused, because no replica could read it back. */
  readonly onMalformedCommand?: (reason: Error) => void;
  /** Called when a write fails, and from time to time while it goes on failing. */
  readonly onWriteFailure?: (err: Error) => void;
  /** Called when the log is written again, with the time since the failure in milliseconds. */
  readonly onWriteRecovery?: (failedMs: number) => void;
  /** Called after slow writes, with their number since the last call and the longest time. */
  readonly onSlowWrites?: (slow: { count: number; longestMs: number }) => void;
  /**
   * Called when the processing of an event fails. The replica stops, as its state may differ from
   * its log; the process must end and replay the log.
   */
  readonly onFailure: (err: Error) => void;
}

export default ConsensusTaskOptions;
