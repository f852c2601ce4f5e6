import * as z from 'zod';

import ExternalName from '../types/ExternalName';
import VersionName from './VersionName';

/** Longest time from an order to its deadline, in milliseconds: a day. */
const MAX_DURATION_MS = 24 * 60 * 60 * 1000;

/** Order of an operator to bring a version of a service in by degrees. */
const RolloutOrder = z.strictObject({
  service: ExternalName,
  targetVersion: VersionName,
  /** Time from the order to its deadline, in milliseconds. */
  durationMs: z.number().positive().max(MAX_DURATION_MS),
});
type RolloutOrder = z.infer<typeof RolloutOrder>;

export default RolloutOrder;
