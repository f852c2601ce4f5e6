import * as z from 'zod';

import Name from '../types/Name';
import burnWindows from './burnWindows';

/** Maximum number of cause and data centre pairs per service. */
const MAX_CAUSES = 64;
/** Number of steps of a series: 6 hours in steps of 5 minutes. */
const SERIES_STEPS = 72;
const MAX_HISTOGRAM_CHARS = 16 * 1024;

const Count = z.int().min(0);
/** Counts in each window of the report, in the order of `burnWindows`. */
const WindowCounts = z.array(Count).length(burnWindows.length);
const Series = z.array(Count).length(SERIES_STEPS);

/** Request counts of one service on one entry. */
const ServiceCounts = z.strictObject({
  /** Undefined for requests that failed before their service was known. */
  service: Name.optional(),
  total: WindowCounts,
  unavailable: WindowCounts,
  slow: WindowCounts,
  causes: z.array(z.strictObject({
    cause: z.string().max(64),
    /** Data centre of the target, undefined if no target was assigned. */
    dataCentre: Name.optional(),
    counts: WindowCounts,
  })).max(MAX_CAUSES),
  series: z.strictObject({ total: Series, unavailable: Series, slow: Series }),
  /** Latencies of the last one to two hours, as a compressed HdrHistogram. */
  latencies: z.string().max(MAX_HISTOGRAM_CHARS),
});
type ServiceCounts = z.infer<typeof ServiceCounts>;

export default ServiceCounts;
