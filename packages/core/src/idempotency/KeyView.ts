import * as z from 'zod';

const Revision = z.strictObject({ term: z.int().min(0), count: z.int().min(0) });

/** Numbered membership view of one region, as sent in messages between members. */
const KeyView = z.strictObject({
  revision: Revision,
  /** Start ids of the members, sorted and joined with spaces. */
  members: z.string(),
});
type KeyView = z.infer<typeof KeyView>;

export default KeyView;
