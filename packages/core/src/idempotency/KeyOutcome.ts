import * as z from 'zod';

import StoredAnswer from './StoredAnswer';

/**
 * Outcome of the run of a granted claim. The response of a `done` run is missing if it is too large
 * to be stored.
 */
const KeyOutcome = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('done'), answer: StoredAnswer.optional() }),
  z.strictObject({ kind: z.literal('notRun') }),
  z.strictObject({ kind: z.literal('unknown') }),
]);
type KeyOutcome = z.infer<typeof KeyOutcome>;

export default KeyOutcome;
