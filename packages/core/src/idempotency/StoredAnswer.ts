import * as z from 'zod';

/** Response that is stored and replayed when its request is resent. */
const StoredAnswer = z.strictObject({
  status: z.int().min(200).max(999),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  body: z.instanceof(Uint8Array),
});
type StoredAnswer = z.infer<typeof StoredAnswer>;

export default StoredAnswer;
