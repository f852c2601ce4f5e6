import * as z from 'zod';

import ReplicaId from './ReplicaId';

/** Replicas of the group. Only voters count towards a quorum; learners only receive the log. */
const Members = z.strictObject({
  voters: z.array(ReplicaId),
  learners: z.array(ReplicaId),
});
type Members = z.infer<typeof Members>;

export default Members;
