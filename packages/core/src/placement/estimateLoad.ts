import type PlacedTarget from './PlacedTarget';
import placementLimits from './placementLimits';

/**
 * Estimates how many requests a target holds: the load that it last reported, plus the requests
 * that this entry has sent since. A report older than `readingMaxAgeMs` is less accurate than the
 * number of requests that this entry has in flight, which then replaces it.
 *
 * @param target - the target
 * @param nowMs - monotonic clock
 * @returns the number of requests running or waiting
 */
export default function estimateLoad(target: PlacedTarget, nowMs: number): number {
  const { reading, inFlight } = target;
  if (reading === undefined || nowMs - reading.atMs > placementLimits.readingMaxAgeMs) {
    return inFlight.size;
  }
  const sentSince = [...inFlight].filter(({ sentAtMs }) => sentAtMs >= reading.sentAtMs).length;
  return reading.running + reading.waiting + sentSince;
}
