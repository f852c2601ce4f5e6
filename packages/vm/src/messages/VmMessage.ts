import { z } from 'zod';

import configurationMessages from './configurationMessages';
import membershipMessages from './membershipMessages';
import sessionMessages from './sessionMessages';

/** Messages between the VMs of the system. */
const VmMessage = z.discriminatedUnion('kind', [
  ...configurationMessages,
  ...membershipMessages,
  ...sessionMessages,
]);
type VmMessage = z.infer<typeof VmMessage>;

export default VmMessage;
