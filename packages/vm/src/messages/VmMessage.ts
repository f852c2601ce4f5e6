import { z } from 'zod';

import consensusMessages from './consensusMessages';
import leaseMessages from './leaseMessages';
import sessionMessages from './sessionMessages';

/** Messages between the VMs of the system. */
const VmMessage = z.discriminatedUnion('kind', [
  ...consensusMessages,
  ...leaseMessages,
  ...sessionMessages,
]);
type VmMessage = z.infer<typeof VmMessage>;

export default VmMessage;
