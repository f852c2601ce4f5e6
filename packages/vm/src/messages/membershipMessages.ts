import { z } from 'zod';

import VmIdentity from '../session/VmIdentity';

/** Messages by which entries learn of each other. */
const membershipMessages = [
  /** Control tells the entries which entries there are. */
  z.strictObject({ kind: z.literal('membership'), entries: z.array(VmIdentity) }),
] as const;

export default membershipMessages;
