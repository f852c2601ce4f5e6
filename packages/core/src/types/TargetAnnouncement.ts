import * as z from 'zod';

import HostPort from './HostPort';
import Name from './Name';

const MAX_SLOTS = 10_000;
const MAX_CONNECTIONS = 100_000;
const MAX_PATH_LENGTH = 256;
const MIN_TIME_TO_LIVE_MS = 100;
const MAX_TIME_TO_LIVE_MS = 3_600_000;

/** Self-description of a target, which the target resends well within its time to live. */
const TargetAnnouncement = z.strictObject({
  id: Name,
  service: Name,
  dataCentre: Name,
  address: HostPort,
  slots: z.int().min(1).max(MAX_SLOTS),
  connectionLimit: z.int().min(1).max(MAX_CONNECTIONS),
  /** Unique for each start of the target's process. */
  startId: z.string().min(1).max(64),
  state: z.enum(['cold', 'ready', 'draining']),
  /**
   * Increases with each change that this incarnation of the target announces. Without it, an
   * announcement that was delivered out of order cannot be distinguished from a new one.
   */
  sequence: z.int().min(0).optional(),
  /**
   * Path that answers GET requests with the `guavayard-load` header, without running any work. The
   * owner probes only targets that announce one.
   */
  probePath: z.string().startsWith('/').max(MAX_PATH_LENGTH).optional(),
  timeToLiveMs: z.int().min(MIN_TIME_TO_LIVE_MS).max(MAX_TIME_TO_LIVE_MS),
});
type TargetAnnouncement = z.infer<typeof TargetAnnouncement>;

export default TargetAnnouncement;
