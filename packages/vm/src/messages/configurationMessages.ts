import { z } from 'zod';

import VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

/** Messages by which entries learn the configuration from control. */
const configurationMessages = [
  /** An entry asks control to send it every configuration from now on. */
  z.strictObject({ kind: z.literal('subscribe') }),
  /** Control tells an entry the latest configuration. */
  z.strictObject({ kind: z.literal('configuration'), latest: VersionedConfiguration }),
] as const;

export default configurationMessages;
