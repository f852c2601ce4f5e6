import { z } from 'zod';

import consensusMessages from './consensusMessages';
import idempotencyMessages from './idempotencyMessages';
import leaseMessages from './leaseMessages';
import reportMessages from './reportMessages';
import sessionMessages from './sessionMessages';

/** Messages between the VMs of the system. */
const VmMessage = z.discriminatedUnion('kind', [
  ...consensusMessages,
  ...idempotencyMessages,
  ...leaseMessages,
  ...sessionMessages,
  ...reportMessages,
]);
type VmMessage = z.infer<typeof VmMessage>;

export default VmMessage;
