import type PlacedTarget from '../placement/PlacedTarget';
import restLimits from './restLimits';

/**
 * Grants the time for which a target wants to be left alone. A later end that it has asked for
 * before stays in force.
 *
 * @param target - the target, changed in place
 * @param restMs - the time that it asks for, in milliseconds
 * @param random - spreads the return of several entries, from 0 to 1
 * @param nowMs - monotonic clock
 */
export default function grantRest(
  target: PlacedTarget,
  restMs: number,
  random: number,
  nowMs: number,
): void {
  const state = target;
  const { maxRestMs, spreadShare, maxSpreadMs } = restLimits;
  const grantedMs = Math.min(maxRestMs, restMs);
  const spreadMs = Math.min(maxSpreadMs, spreadShare * grantedMs) * random;
  const untilMs = Math.max(target.rest?.untilMs ?? -Infinity, nowMs + grantedMs + spreadMs);
  state.rest = { untilMs, isReturning: true };
}
