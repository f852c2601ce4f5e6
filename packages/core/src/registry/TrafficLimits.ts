import * as z from 'zod';

/** Limits of the size and the timing of requests of callers. */
const TrafficLimits = z.strictObject({
  maxHeaderBytes: z.number(),
  maxBodyBytes: z.number(),
  headerTimeoutMs: z.number(),
  /** How long a connection without a request is kept open. */
  idleTimeoutMs: z.number(),
});
type TrafficLimits = z.infer<typeof TrafficLimits>;

export default TrafficLimits;
