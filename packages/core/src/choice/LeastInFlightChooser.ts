import type Candidate from '../routing/Candidate';
import type TargetChooser from './TargetChooser';

const DISTANCE_RANK = { 'data-centre': 0, region: 1, remote: 2 } as const;

/** Chooses the target with the fewest requests per slot from this entry, preferring near ones. */
export default class LeastInFlightChooser implements TargetChooser {
  /**
   * @param countInFlight - returns the number of requests that this entry has in flight to a target
   */
  constructor(private readonly countInFlight: (targetId: string) => number) {}

  choose(candidates: readonly Candidate[]): Candidate | undefined {
    let best: Candidate | undefined;
    let bestCost = Infinity;
    candidates.forEach((candidate) => {
      const load = this.countInFlight(candidate.target.id) / candidate.target.slots;
      const cost = load + DISTANCE_RANK[candidate.distance];
      if (cost >= bestCost) return;
      best = candidate;
      bestCost = cost;
    });
    return best;
  }
}
