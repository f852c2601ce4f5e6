import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

import type MembershipChange from '../control/MembershipChange';
import type VmIdentity from '../session/VmIdentity';

/** Receives the updates that an entry gets from control under its lease. */
interface SubscriptionListener {
  /** A newer configuration has been received. */
  onConfiguration: (latest: VersionedConfiguration) => void;
  /** The set of entries has changed. */
  onMembership: (entries: readonly VmIdentity[], change: MembershipChange) => void;
}

export default SubscriptionListener;
