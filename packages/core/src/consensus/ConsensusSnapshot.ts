import * as z from 'zod';

import ConfigurationSnapshot from '../configuration/ConfigurationSnapshot';
import Members from './Members';

/** State after all entries up to `lastIndex`, which it replaces in the log. */
const ConsensusSnapshot = z.strictObject({
  lastIndex: z.int().min(0),
  lastTerm: z.int().min(0),
  members: Members,
  data: ConfigurationSnapshot,
});
type ConsensusSnapshot = z.infer<typeof ConsensusSnapshot>;

export default ConsensusSnapshot;
