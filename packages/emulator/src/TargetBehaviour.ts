import * as z from 'zod';

const UNLIMITED = 1_000_000;

const Factor = z.number().min(0);
const DurationMs = z.number().min(0);

/** Behaviour of an emulated target. With the defaults, it responds immediately to every request. */
const TargetBehaviour = z.strictObject({
  /** Largest number of concurrent requests. */
  slots: z.int().min(1).default(UNLIMITED),
  /** Largest number of requests that wait for a slot; further ones are shed without being run. */
  queueLimit: z.int().min(0).default(UNLIMITED),
  /** Time for which a request holds its slot, in milliseconds. */
  serviceTimeMs: DurationMs.default(0),
  /** Factor on the service time, to simulate a noisy neighbour. */
  slowFactor: Factor.default(1),
  /** Periodic slow phases. */
  noise: z.strictObject({
    everyMs: DurationMs, lastsMs: DurationMs, factor: Factor,
  }).optional(),
  /** Responses until a cold target is warm; 0 for a warm target. */
  coldRequests: z.int().min(0).default(0),
  /** Largest number of concurrent requests of a cold target; it fails further ones. */
  coldSlots: z.int().min(1).default(1),
  /** Factor on the service time of a cold target. */
  coldFactor: Factor.default(1),
  /** Sheds every request, like a draining target. */
  isShedding: z.boolean().default(false),
  /** Fails every request immediately. */
  isFailingFast: z.boolean().default(false),
  /** Age of the reported load, in milliseconds. */
  loadLagMs: DurationMs.default(0),
  /** Factor on the reported load; 1 reports the actual load. */
  loadFactor: Factor.default(1),
});
type TargetBehaviour = z.infer<typeof TargetBehaviour>;

export default TargetBehaviour;
