import type TargetChooser from '@guavayard/core/choice/TargetChooser';
import type Candidate from '@guavayard/core/routing/Candidate';
import type Random from '@guavayard/core/types/Random';

/** Chooses one after the other, from a random start. */
export default class RoundRobinChooser implements TargetChooser {
  private turn: number;

  constructor(random: Random) {
    this.turn = Math.floor(random() * 1000);
  }

  choose(candidates: readonly Candidate[]): Candidate | undefined {
    this.turn += 1;
    return candidates[this.turn % candidates.length];
  }
}
