import type RegisteredTarget from '../registry/RegisteredTarget';
import type PlacedTarget from './PlacedTarget';
import placementLimits from './placementLimits';

function createKey({ id, address }: RegisteredTarget): string {
  return `${id} ${address}`;
}

/**
 * Remembers what was sent to targets that have been removed. A target that registers again at the
 * same address may be the process that got it.
 */
export default class FormerTargets {
  private readonly targets = new Map<string, PlacedTarget>();

  /**
   * Records a target that was removed.
   *
   * @param target - the target
   * @param nowMs - monotonic clock
   */
  add(target: PlacedTarget, nowMs: number): void {
    this.targets.set(createKey(target.record), target);
    this.targets.forEach((former, key) => {
      if (!FormerTargets.isRelevant(former, nowMs)) this.targets.delete(key);
    });
  }

  /**
   * Adds what was sent to a target before it was registered again.
   *
   * @param target - the target, changed in place
   * @param nowMs - monotonic clock
   */
  restore(target: PlacedTarget, nowMs: number): void {
    const former = this.targets.get(createKey(target.record));
    if (former === undefined || !FormerTargets.isRelevant(former, nowMs)) return;
    const state = target;
    state.recentSends = [...former.recentSends];
    state.coldUntilMs = former.coldUntilMs;
  }

  private static isRelevant({ recentSends, coldUntilMs }: PlacedTarget, nowMs: number): boolean {
    const sentAtMs = recentSends.at(-1) ?? -Infinity;
    return coldUntilMs > nowMs || sentAtMs > nowMs - placementLimits.coldWindowMs;
  }
}
