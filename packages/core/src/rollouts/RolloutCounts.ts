import * as z from 'zod';

import ExternalName from '../types/ExternalName';
import latencyBoundsMs from './latencyBoundsMs';

const Count = z.int().min(0);

/** Responses of one side of a roll-out to requests of one route, from targets of a data centre. */
const ResponseCounts = z.strictObject({
  route: z.string(),
  /** Data centre of the targets. */
  dataCentre: ExternalName,
  isTargetVersion: z.boolean(),
  /** Failures, among them responses that broke off and requests whose time ran out. */
  failed: Count,
  /** Good responses by latency bucket; trailing zeros are left out. */
  latencies: z.array(Count).max(latencyBoundsMs.length + 1),
});

/** What one process of an entry has counted since it learnt of a roll-out. */
const RolloutCounts = z.strictObject({
  /** Id of the process of the entry: counts of another one start from zero. */
  startId: z.string().max(64),
  /** Increases with each report of the process. */
  sequence: z.int().min(0),
  service: ExternalName,
  /** Number of the roll-out. */
  number: z.int().min(1),
  /** Requests of callers to the service. */
  requests: Count,
  /** Requests sent to targets of the target version, repeats included. */
  sent: Count,
  /** Requests in flight on targets of other versions. */
  baseInFlight: Count,
  /** Whether this entry sends nothing more to other versions. */
  hasSwitched: z.boolean(),
  cells: z.array(ResponseCounts),
});
type RolloutCounts = z.infer<typeof RolloutCounts>;

export default RolloutCounts;
