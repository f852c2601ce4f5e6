import * as z from 'zod';

import LoadReport from '@guavayard/core/types/LoadReport';

/** Messages by which the entries of a region share their requests in flight. */
const loadMessages = [
  z.strictObject({ kind: z.literal('load'), report: LoadReport }),
] as const;

export default loadMessages;
