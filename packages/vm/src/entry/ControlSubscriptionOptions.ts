import type Clock from '@guavayard/core/types/Clock';

import type VmHub from '../session/VmHub';
import type VmIdentity from '../session/VmIdentity';
import type SubscriptionListener from './SubscriptionListener';

/** Dependencies of an entry's subscription to control. */
interface ControlSubscriptionOptions {
  readonly hub: VmHub;
  readonly identity: VmIdentity;
  /** Monotonic clock of this VM, on which the lease expires. */
  readonly clock: Clock;
  readonly listener: SubscriptionListener;
}

export default ControlSubscriptionOptions;
