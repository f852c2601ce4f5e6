import type PlacedTarget from './PlacedTarget';
import placementLimits from './placementLimits';

function isDue(target: PlacedTarget, nowMs: number): boolean {
  const { idleMarginMs, keepForMs } = placementLimits;
  const { idleTimeoutMs, lastSentAtMs, lastAskedAtMs } = target;
  // With a shorter timeout, the probes would cost more than the connections save.
  if (idleTimeoutMs === undefined || idleTimeoutMs < 2 * idleMarginMs) return false;
  const idleForMs = nowMs - lastSentAtMs;
  return idleForMs >= idleTimeoutMs - idleMarginMs && idleForMs < idleTimeoutMs
    && nowMs - lastAskedAtMs < keepForMs;
}

/**
 * Selects the targets whose idle connections expire soon, so that a probe keeps them open.
 *
 * Load pattern: many entries with a few requests per second each, whose connections are idle for
 * longer than the idle timeout of the targets. A new connection costs a target far more than a
 * probe.
 *
 * @param targets - the targets that this entry may send to
 * @param nowMs - monotonic clock
 * @returns the targets due for a probe, among those of highest affinity of each service
 */
export default function selectKeepAliveTargets(
  targets: readonly PlacedTarget[],
  nowMs: number,
): PlacedTarget[] {
  const byService = new Map<string, PlacedTarget[]>();
  targets.forEach((target) => {
    const { service } = target.record;
    byService.set(service, [...byService.get(service) ?? [], target]);
  });
  return [...byService.values()].flatMap((members) => members
    .sort((left, right) => right.affinity - left.affinity)
    .slice(0, placementLimits.keepAliveTargets)
    .filter((target) => isDue(target, nowMs)));
}
