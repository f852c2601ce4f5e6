import type TargetChooser from '@guavayard/core/choice/TargetChooser';
import type Candidate from '@guavayard/core/routing/Candidate';
import type Random from '@guavayard/core/types/Random';

/** Chooses the least loaded candidate of all or of a random sample; breaks ties at random. */
export default class LeastLoadChooser implements TargetChooser {
  /**
   * @param loadOf - returns the load of a target; lower is better
   * @param random - random number generator
   * @param sampleSize - number of candidates to compare
   */
  constructor(
    private readonly loadOf: (targetId: string) => number,
    private readonly random: Random,
    private readonly sampleSize = Infinity,
  ) {}

  choose(candidates: readonly Candidate[]): Candidate | undefined {
    const start = Math.floor(this.random() * candidates.length);
    const compared = this.sampleSize >= candidates.length
      ? [...candidates.slice(start), ...candidates.slice(0, start)] : this.sample(candidates);
    let best: Candidate | undefined;
    let bestLoad = Infinity;
    compared.forEach((candidate) => {
      const load = this.loadOf(candidate.target.id);
      if (load >= bestLoad) return;
      best = candidate;
      bestLoad = load;
    });
    return best;
  }

  private sample(candidates: readonly Candidate[]): Candidate[] {
    const remaining = [...candidates];
    return Array.from({ length: this.sampleSize }, () => (
      remaining.splice(Math.floor(this.random() * remaining.length), 1)[0] as Candidate
    ));
  }
}
