import * as z from 'zod';

/** A revision of the leader's lease table: the leader's term and a change counter within it. */
const MembershipRevision = z.strictObject({ term: z.int().min(0), count: z.int().min(0) });
type MembershipRevision = z.infer<typeof MembershipRevision>;

export default MembershipRevision;
