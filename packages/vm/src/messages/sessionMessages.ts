import { z } from 'zod';

/** Messages that keep a session alive. */
const sessionMessages = [
  z.strictObject({ kind: z.literal('ping') }),
] as const;

export default sessionMessages;
