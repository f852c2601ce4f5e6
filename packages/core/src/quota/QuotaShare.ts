import * as z from 'zod';

/**
 * Share of the requests of a tenant that entries admit, from 0 to 1, and the delay after which a
 * refused caller may retry, in milliseconds. A share of 1 ends the limit.
 */
const QuotaShare = z.tuple([z.number().min(0).max(1), z.int().min(0)]);
type QuotaShare = z.infer<typeof QuotaShare>;

export default QuotaShare;
