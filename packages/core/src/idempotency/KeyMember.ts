import * as z from 'zod';

import Name from '../types/Name';

/** Entry that stores records of idempotency keys. */
const KeyMember = z.strictObject({
  name: Name,
  /** Identifies one start of the process; a restarted process has lost its records. */
  startId: z.string().max(64),
  dataCentre: Name,
});
type KeyMember = z.infer<typeof KeyMember>;

export default KeyMember;
