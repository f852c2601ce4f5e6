import * as z from 'zod';

import Name from './Name';
import TargetAnnouncement from './TargetAnnouncement';

const MAX_RETIRED_START_IDS = 8;

/** State of a target as exchanged between entries. Records of a target are totally ordered. */
const TargetRecord = z.strictObject({
  announcement: TargetAnnouncement,
  /** Number of incarnations of the target that the entries have seen. */
  generation: z.int().min(1),
  /** Number of changes announced within the generation. */
  sequence: z.int().min(0),
  /** Number of times that another entry took over the heartbeats of an unchanged announcement. */
  claim: z.int().min(0),
  /** Name of the entry that receives the heartbeats. */
  holder: Name,
  /** Whether the owner has found that this incarnation can take its full load. */
  isWarm: z.boolean(),
  /** Whether the target has withdrawn; this incarnation never returns. */
  isWithdrawn: z.boolean(),
  /** Most recent start ids that were replaced by later ones; they are never accepted again. */
  retiredStartIds: z.array(z.string().max(64)).max(MAX_RETIRED_START_IDS),
});
type TargetRecord = z.infer<typeof TargetRecord>;

export default TargetRecord;
