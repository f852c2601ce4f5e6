import * as z from 'zod';

import HostPort from '@guavayard/core/types/HostPort';
import Name from '@guavayard/core/types/Name';

/** Identity that a VM presents when a session starts. */
const VmIdentity = z.strictObject({
  name: Name,
  region: Name,
  dataCentre: Name,
  /** Unique for each start of the process. */
  startId: z.string().min(1).max(64),
  roles: z.array(z.enum(['entry', 'control'])),
  /** Address at which the VM accepts sessions. */
  address: HostPort,
  /** Address at which an entry accepts callers' requests. */
  callerAddress: HostPort.optional(),
});
type VmIdentity = z.infer<typeof VmIdentity>;

export default VmIdentity;
