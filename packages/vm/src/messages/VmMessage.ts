import { z } from 'zod';

import configurationMessages from './configurationMessages';
import membershipMessages from './membershipMessages';
import sessionMessages from './sessionMessages';
import reportMessages from './reportMessages';

/** Messages between the VMs of the system. */
const VmMessage = z.discriminatedUnion('kind', [
  ...configurationMessages,
  ...membershipMessages,
  ...sessionMessages,
  ...reportMessages,
]);
type VmMessage = z.infer<typeof VmMessage>;

export default VmMessage;
