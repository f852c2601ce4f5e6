import type PlacedTarget from './PlacedTarget';
import placementLimits from './placementLimits';

/**
 * Estimates how many requests a target holds: what it told last, and what this entry has sent
 * since. Load told a second ago says less than what this entry itself has in flight.
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
  const since = [...inFlight].filter(({ sentAtMs }) => sentAtMs >= reading.sentAtMs).length;
  return reading.running + reading.waiting + since;
}
