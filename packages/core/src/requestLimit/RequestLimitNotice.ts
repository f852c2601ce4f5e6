import * as z from 'zod';

/** What an entry has learnt about the request limit of a target. */
const RequestLimitNotice = z.strictObject({
  targetId: z.string().min(1).max(128),
  /** Start of the incarnation, as the target announced it. */
  bornAtMs: z.number(),
  /** Requests per second from all entries together; undefined if the target names no limit. */
  requestsPerSecond: z.number().min(0).optional(),
});
type RequestLimitNotice = z.infer<typeof RequestLimitNotice>;

export default RequestLimitNotice;
