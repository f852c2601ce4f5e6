import * as z from 'zod';

const MAX_THRESHOLD_MS = 600_000;

/** Ratio of requests, between 0 and 1 (exclusive): an objective of 1 leaves no error budget. */
const Share = z.number().gt(0).lt(1);

/** Service-level objectives (SLOs) of a service. */
const ServiceObjectives = z.strictObject({
  /** Ratio of requests that must be answered without an error of the system or its targets. */
  availability: Share.optional(),
  /** Ratio of answered requests that must be answered within the threshold. */
  latency: z.strictObject({
    thresholdMs: z.int().min(1).max(MAX_THRESHOLD_MS),
    share: Share,
  }).optional(),
});
type ServiceObjectives = z.infer<typeof ServiceObjectives>;

export default ServiceObjectives;
