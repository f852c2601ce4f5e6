import type Clock from '@guavayard/core/types/Clock';

import type VmHub from '../session/VmHub';
import type VmIdentity from '../session/VmIdentity';
import type SubscriptionListener from './SubscriptionListener';

/** What an entry's subscription is made of. */
interface ControlSubscriptionOptions {
  readonly hub: VmHub;
  readonly identity: VmIdentity;
  /** Monotonic clock of this VM; the lease is counted on it. */
  readonly clock: Clock;
  readonly listener: SubscriptionListener;
}

export default ControlSubscriptionOptions;
