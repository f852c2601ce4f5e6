import type PlacedTarget from '../placement/PlacedTarget';

/**
 * @param target - the target
 * @param nowMs - monotonic clock
 * @returns whether nothing may be sent to the target, probes included
 */
export default function isResting({ rest }: PlacedTarget, nowMs: number): boolean {
  return rest !== undefined && rest.untilMs > nowMs;
}
