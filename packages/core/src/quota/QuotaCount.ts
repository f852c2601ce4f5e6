import * as z from 'zod';

/**
 * Requests of a tenant: how many were asked for, and how many were admitted. The latter falls when
 * a request that was admitted is refused without having been sent.
 */
const QuotaCount = z.tuple([z.int(), z.int()]);
type QuotaCount = z.infer<typeof QuotaCount>;

export default QuotaCount;
