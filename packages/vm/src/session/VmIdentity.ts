import { z } from 'zod';

import Name from '@guavayard/core/types/Name';

/** Who a VM says it is when a session starts. */
const VmIdentity = z.strictObject({
  name: Name,
  region: Name,
  dataCentre: Name,
  /** New for each start of the process. */
  startId: z.string().min(1).max(64),
});
type VmIdentity = z.infer<typeof VmIdentity>;

export default VmIdentity;
