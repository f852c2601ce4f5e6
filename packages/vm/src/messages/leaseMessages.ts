import * as z from 'zod';

import VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

import MembershipChange from '../control/MembershipChange';
import MembershipRevision from '../control/MembershipRevision';
import VmIdentity from '../session/VmIdentity';

/** Number of relays on the longest route to the leader: another entry and a follower. */
const MAX_RELAYS = 2;

const Nonce = z.string().min(1).max(64);

/** Messages by which entries obtain and release the configuration lease. */
const leaseMessages = [
  /** An entry asks for the latest committed version. A relay adds the identity of that entry. */
  z.strictObject({
    kind: z.literal('leaseRequest'),
    nonce: Nonce,
    /** Configuration version that the entry holds, undefined if none. */
    heldVersion: z.int().min(0).optional(),
    membership: MembershipRevision.optional(),
    relays: z.int().min(0).max(MAX_RELAYS),
    entry: VmIdentity.optional(),
  }),
  /**
   * The leader grants the lease after a quorum has confirmed the version, and includes the
   * configuration and membership changes that the entry lacks.
   */
  z.strictObject({
    kind: z.literal('leaseGrant'),
    nonce: Nonce,
    version: z.int().min(0),
    leader: z.string(),
    configuration: VersionedConfiguration.optional(),
    membership: MembershipChange.optional(),
  }),
  /** The leader pushes a configuration to an entry as soon as it is committed. */
  z.strictObject({ kind: z.literal('configuration'), latest: VersionedConfiguration }),
  /** An entry confirms that it dispatches under this version from now on. */
  z.strictObject({ kind: z.literal('configurationHeld'), version: z.int().min(0) }),
  z.strictObject({ kind: z.literal('membership'), change: MembershipChange }),
  /** An entry that shuts down releases its lease. */
  z.strictObject({ kind: z.literal('leaseRelease') }),
] as const;

export default leaseMessages;
