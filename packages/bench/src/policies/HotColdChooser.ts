import type TargetChooser from '@guavayard/core/choice/TargetChooser';
import type Candidate from '@guavayard/core/routing/Candidate';

import type ObservedLoads from './ObservedLoads';

/** Targets above this quantile of requests in flight are hot. */
const HOT_QUANTILE = 0.75;

/**
 * Chooses the quickest of the targets that are not hot by their requests in flight; if all are
 * hot, the one with the fewest requests in flight.
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
