import * as z from 'zod';

/** Messages that keep a session alive. */
const sessionMessages = [
  /** Sent by either side of an idle session. */
  z.strictObject({ kind: z.literal('heartbeat') }),
] as const;

export default sessionMessages;
