import * as z from 'zod';

import ExternalName from '../types/ExternalName';
import Rollout from './Rollout';

/** What entries are told of the last roll-out of a service. */
const RolloutNotice = z.strictObject({
  service: ExternalName,
  ...Rollout.pick({
    number: true, targetVersion: true, baseVersions: true, canaryShare: true, phase: true,
  }).shape,
  /** Time until all requests go to the target version, in milliseconds; 0 unless it switches. */
  switchInMs: z.number().min(0),
});
type RolloutNotice = z.infer<typeof RolloutNotice>;

export default RolloutNotice;
