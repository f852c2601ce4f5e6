import * as z from 'zod';

import ServiceObjectives from '../types/ServiceObjectives';

const Rate = z.number().min(0);

/** Error budget burn of one objective over one window. */
const WindowBurn = z.object({
  windowMs: z.int(),
  total: z.int(),
  bad: z.int(),
  /** Ratio of bad requests, divided by the ratio that the objective allows. */
  burnRate: Rate,
});

const BurnAlert = z.object({
  severity: z.enum(['page', 'ticket']),
  shortMs: z.int(),
  longMs: z.int(),
  threshold: Rate,
  isFiring: z.boolean(),
});

const ObjectiveBurn = z.object({
  objective: z.enum(['availability', 'latency']),
  /** Ratio of requests that must be good. */
  share: Rate,
  windows: z.array(WindowBurn),
  alerts: z.array(BurnAlert),
  /** Burn rate of each step of the last 6 hours, oldest first. */
  series: z.array(Rate),
});

const CauseBurn = z.object({
  cause: z.string(),
  dataCentre: z.string().optional(),
  /** Number of requests in each window, in the order of `windowsMs`. */
  counts: z.array(z.int()),
});

const ServiceBurn = z.object({
  /** Undefined for requests that failed before their service was known. */
  service: z.string().optional(),
  objectives: ServiceObjectives.optional(),
  /** Total number of requests in each window, in the order of `windowsMs`. */
  totals: z.array(z.int()),
  burns: z.array(ObjectiveBurn),
  /** Causes of bad requests, the most frequent over the last 6 hours first. */
  causes: z.array(CauseBurn),
  latencyMs: z.object({ p50: Rate, p99: Rate, p999: Rate }),
});

/** Error budget burn of the objectives of all services, aggregated over the entries. */
const BurnReport = z.object({
  windowsMs: z.array(z.int()),
  services: z.array(ServiceBurn),
  entries: z.array(z.object({
    entry: z.string(), dataCentre: z.string(), uptimeMs: z.int(),
  })),
  /** VMs that did not respond in time; their requests are missing from the report. */
  silent: z.array(z.string()),
});
type BurnReport = z.infer<typeof BurnReport>;

export default BurnReport;
