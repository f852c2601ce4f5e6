import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

import type MembershipChange from '../control/MembershipChange';
import type VmIdentity from '../session/VmIdentity';

/** Receiver of what control tells an entry. */
interface SubscriptionListener {
  /** A newer configuration is in force. */
  onConfiguration: (latest: VersionedConfiguration) => void;
  /** The set of entries has changed. */
  onMembership: (entries: readonly VmIdentity[], change: MembershipChange) => void;
}

export default SubscriptionListener;
