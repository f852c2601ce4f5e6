import { z } from 'zod';

import configurationMessages from './configurationMessages';
import directoryMessages from './directoryMessages';
import membershipMessages from './membershipMessages';

/** Messages between the VMs of the system. */
const VmMessage = z.discriminatedUnion('kind', [
  ...configurationMessages,
  ...directoryMessages,
  ...membershipMessages,
]);
type VmMessage = z.infer<typeof VmMessage>;

export default VmMessage;
