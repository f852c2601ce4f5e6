import type TargetChooser from '@guavayard/core/choice/TargetChooser';
import type Candidate from '@guavayard/core/routing/Candidate';

import type ObservedLoads from './ObservedLoads';

/** Targets with more requests in flight than this quantile are hot. */
const HOT_QUANTILE = 0.75;

/**
 * Chooses the target with the lowest average latency among those that are not hot. If all targets
 * are hot, chooses the one with the fewest requests in flight.
 */
export default class HotColdChooser implements TargetChooser {
  constructor(
    private readonly countInFlight: (targetId: string) => number,
    private readonly loads: ObservedLoads,
  ) {}

  choose(candidates: readonly Candidate[]): Candidate | undefined {
    const loads = candidates.map(({ target }) => (
      Math.max(this.countInFlight(target.id), this.loads.reportedOf(target.id))
    ));
    const sorted = [...loads].sort((left, right) => left - right);
    const threshold = sorted[Math.floor(HOT_QUANTILE * (sorted.length - 1))] ?? 0;
    let best: Candidate | undefined;
    let bestRank = Infinity;
    candidates.forEach((candidate, index) => {
      const load = loads[index] ?? 0;
      const isHot = load > threshold || load >= candidate.target.slots;
      const rank = isHot ? 1e6 * (1 + load) : this.loads.latencyMsOf(candidate.target.id);
      if (rank >= bestRank) return;
      best = candidate;
      bestRank = rank;
    });
    return best;
  }
}
