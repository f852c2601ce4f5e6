import * as z from 'zod';

import Name from '@guavayard/core/types/Name';

/** System status as reported by one control VM. */
const SystemStatus = z.object({
  vm: Name,
  version: z.int(),
  entries: z.array(Name),
});
type SystemStatus = z.infer<typeof SystemStatus>;

export default SystemStatus;
