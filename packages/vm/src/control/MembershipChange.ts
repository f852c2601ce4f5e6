import * as z from 'zod';

import VmIdentity from '../session/VmIdentity';
import MembershipRevision from './MembershipRevision';

/** A change of the leader's lease table, which lists the entries of the system. */
const MembershipChange = z.strictObject({
  /**
   * `delta` applies to the revision `base` only; `union` adds to any table and is used while a new
   * leader does not know all entries yet; `whole` replaces any table.
   */
  scope: z.enum(['delta', 'union', 'whole']),
  base: MembershipRevision.optional(),
  revision: MembershipRevision,
  joined: z.array(VmIdentity),
  /** Start ids of the entries that left. */
  left: z.array(z.string()),
});
type MembershipChange = z.infer<typeof MembershipChange>;

export default MembershipChange;
