import * as z from 'zod';

import StoredAnswer from './StoredAnswer';

/**
 * Decision on a claim.
 *
 * `granted`: this arrival may run, and no other one. `answered`: an earlier arrival ran and its
 * response is stored. `answerNotStored`: an earlier arrival ran, but its response was too large to
 * store. `conflict`: the key belongs to a different request. `unknown`: an earlier arrival may have
 * run. `joined`: an earlier arrival is running now. `full`: there is no room for another record.
 * `unavailable`: the claim cannot be decided now.
 */
const KeyDecision = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('granted') }),
  z.strictObject({ kind: z.literal('answered'), answer: StoredAnswer }),
  z.strictObject({ kind: z.literal('answerNotStored') }),
  z.strictObject({ kind: z.literal('conflict') }),
  z.strictObject({ kind: z.literal('unknown') }),
  z.strictObject({ kind: z.literal('joined') }),
  z.strictObject({ kind: z.literal('full') }),
  z.strictObject({ kind: z.literal('unavailable') }),
]);
type KeyDecision = z.infer<typeof KeyDecision>;

export default KeyDecision;
