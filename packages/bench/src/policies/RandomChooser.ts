import type TargetChooser from '@guavayard/core/choice/TargetChooser';
import type Candidate from '@guavayard/core/routing/Candidate';
import type Random from '@guavayard/core/types/Random';

/** Chooses a candidate uniformly at random. */
export default class RandomChooser implements TargetChooser {
  constructor(private readonly random: Random) {}

  choose(candidates: readonly Candidate[]): Candidate | undefined {
    return candidates[Math.floor(this.random() * candidates.length)];
  }
}
