import type TargetChooser from '@guavayard/core/choice/TargetChooser';
import type Candidate from '@guavayard/core/routing/Candidate';
import type Random from '@guavayard/core/types/Random';

/** Chooses candidates in turn, starting at a random one. */
export default class RoundRobinChooser implements TargetChooser {
  private counter: number;

  constructor(random: Random) {
    this.counter = Math.floor(random() * 1000);
  }

  choose(candidates: readonly Candidate[]): Candidate | undefined {
    this.counter += 1;
    return candidates[this.counter % candidates.length];
  }
}
