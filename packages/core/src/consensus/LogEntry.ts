import * as z from 'zod';

import Command from './Command';

/** Entry of the replicated log. */
const LogEntry = z.strictObject({
  index: z.int().min(1),
  term: z.int().min(0),
  command: Command,
});
type LogEntry = z.infer<typeof LogEntry>;

export default LogEntry;
