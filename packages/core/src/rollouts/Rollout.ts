import * as z from 'zod';

import VersionName from './VersionName';

/** Replicated state of the last roll-out of a service. */
const Rollout = z.strictObject({
  /** Counts the roll-outs of the service, from 1. */
  number: z.int().min(1),
  targetVersion: VersionName,
  /** Versions that served before; the empty text stands for targets that tell no version. */
  baseVersions: z.array(z.string()),
  /** Time from the order to its deadline, in milliseconds. */
  durationMs: z.number().positive(),
  /** Share of the requests that the target version gets while it is evaluated. */
  canaryShare: z.number().min(0).max(1),
  /** Time of day at the leader when it was ordered, in milliseconds since 1970. */
  orderedAtMs: z.number(),
  /**
   * - `running`: the target version gets a small share of the requests
   * - `switching`: it gets all of them, and requests on the base versions end
   * - `completed`: it is in force, and the base versions get nothing
   * - `rolledBack`: the base versions are in force, and it gets nothing
   */
  phase: z.enum(['running', 'switching', 'completed', 'rolledBack']),
});
type Rollout = z.infer<typeof Rollout>;

export default Rollout;
