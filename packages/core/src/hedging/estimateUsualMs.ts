import type HedgeCandidate from './HedgeCandidate';
import hedgeLimits from './hedgeLimits';

/**
 * Estimates the usual duration of an attempt. An entry with 2 requests per second needs seconds for
 * a mean and minutes for a percentile; until then a share of the target latency is used.
 *
 * @param candidate - the attempt
 * @returns the duration, in milliseconds
 */
export default function estimateUsualMs(
  { usualMs, targetLatencyMs }: Pick<HedgeCandidate, 'usualMs' | 'targetLatencyMs'>,
): number {
  return usualMs ?? targetLatencyMs * hedgeLimits.usualShare;
}
