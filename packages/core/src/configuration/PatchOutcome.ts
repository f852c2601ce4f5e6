import * as z from 'zod';

/** Outcome of a patch, which is identified by its id and base. */
const PatchOutcome = z.discriminatedUnion('outcome', [
  z.strictObject({ outcome: z.literal('accepted'), version: z.int() }),
  /** Another patch created the version, so this one will never be accepted. */
  z.strictObject({ outcome: z.literal('superseded'), version: z.int() }),
  /** The version does not exist yet; it is safe to send the patch again. */
  z.strictObject({ outcome: z.literal('undecided'), version: z.int() }),
]);
type PatchOutcome = z.infer<typeof PatchOutcome>;

export default PatchOutcome;
