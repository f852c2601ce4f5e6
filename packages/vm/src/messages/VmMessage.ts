import * as z from 'zod';

import consensusMessages from './consensusMessages';
import directoryMessages from './directoryMessages';
import idempotencyMessages from './idempotencyMessages';
import leaseMessages from './leaseMessages';
import loadMessages from './loadMessages';
import quotaMessages from './quotaMessages';
import registryMessages from './registryMessages';
import relayMessages from './relayMessages';
import reportMessages from './reportMessages';
import rolloutMessages from './rolloutMessages';
import sessionMessages from './sessionMessages';

/** Any message between VMs of the system, distinguished by its `kind`. */
const VmMessage = z.discriminatedUnion('kind', [
  ...consensusMessages,
  ...directoryMessages,
  ...idempotencyMessages,
  ...leaseMessages,
  ...loadMessages,
  ...sessionMessages,
  ...quotaMessages,
  ...registryMessages,
  ...relayMessages,
  ...reportMessages,
  ...rolloutMessages,
]);
type VmMessage = z.infer<typeof VmMessage>;

export default VmMessage;
