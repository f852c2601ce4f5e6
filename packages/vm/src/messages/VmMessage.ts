import { z } from 'zod';

import consensusMessages from './consensusMessages';
import directoryMessages from './directoryMessages';
import leaseMessages from './leaseMessages';
import reportMessages from './reportMessages';
import sessionMessages from './sessionMessages';

/** Messages between the VMs of the system. */
const VmMessage = z.discriminatedUnion('kind', [
  ...consensusMessages,
  ...directoryMessages,
  ...leaseMessages,
  ...sessionMessages,
  ...reportMessages,
]);
type VmMessage = z.infer<typeof VmMessage>;

export default VmMessage;
