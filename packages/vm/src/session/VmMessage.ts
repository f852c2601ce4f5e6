import { z } from 'zod';

import VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

/** Messages between the VMs of the system. */
const VmMessage = z.discriminatedUnion('kind', [
  /** An entry asks control to send it every configuration from now on. */
  z.strictObject({ kind: z.literal('subscribe') }),
  /** Control tells an entry the latest configuration. */
  z.strictObject({ kind: z.literal('configuration'), latest: VersionedConfiguration }),
]);
type VmMessage = z.infer<typeof VmMessage>;

export default VmMessage;
