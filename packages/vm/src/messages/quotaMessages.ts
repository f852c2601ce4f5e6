import * as z from 'zod';

import QuotaCount from '@guavayard/core/quota/QuotaCount';
import QuotaHistory from '@guavayard/core/quota/QuotaHistory';
import QuotaShare from '@guavayard/core/quota/QuotaShare';
import QuotaState from '@guavayard/core/quota/QuotaState';
import ExternalName from '@guavayard/core/types/ExternalName';

/** Messages about the quotas of tenants, since version 5. */
const quotaMessages = [
  /** An entry reports requests of tenants to the control VM that it follows. */
  z.strictObject({
    kind: z.literal('quotaUsage'),
    sequence: z.int().min(1),
    /** Time since the requests arrived, in milliseconds. */
    ageMs: z.int().min(0),
    usage: z.record(ExternalName, QuotaCount),
  }),
  /** A control VM has passed on what an entry has reported up to a sequence number. */
  z.strictObject({ kind: z.literal('quotaConfirm'), sequence: z.int().min(1) }),
  /** A control VM tells another one what it has counted, when their session opens. */
  z.strictObject({ kind: z.literal('quotaState'), state: QuotaState }),
  /** A control VM tells the others which of its totals since its start have changed. */
  z.strictObject({
    kind: z.literal('quotaTotals'), totals: z.record(ExternalName, QuotaCount),
  }),
  /** A control VM that has just started tells the others what entries admitted before. */
  z.strictObject({ kind: z.literal('quotaHistory'), history: QuotaHistory }),
  /** A control VM tells its entries which shares have changed, or all shares below 1. */
  z.strictObject({
    kind: z.literal('quotaShares'),
    shares: z.record(ExternalName, QuotaShare),
    isComplete: z.boolean(),
    /** Whether the entry is to report again all that it admitted within a window. */
    needsHistory: z.boolean(),
  }),
] as const;

export default quotaMessages;
