import type Random from '@guavayard/core/types/Random';

import sampleExponential from './sampleExponential';

const SHORTEST_MS = 5;
const LONGEST_MS = 500;
const MEAN_GAP_MS = 1300;
/** A noisy neighbour makes the target this many times slower. */
const SLOW_FACTOR = 4;
const MEAN_LENGTH_MS = (LONGEST_MS - SHORTEST_MS) / Math.log(LONGEST_MS / SHORTEST_MS);

interface Phase {
  readonly startMs: number;
  readonly endMs: number;
}

/** The times in which noisy neighbours slow a target down, the same for every policy. */
export default class NoisePhases {
  /** Part of a target's capacity that is left over all phases. */
  static readonly CAPACITY = 1
    - (MEAN_LENGTH_MS / (MEAN_LENGTH_MS + MEAN_GAP_MS)) * (1 - 1 / SLOW_FACTOR);

  private readonly phases: Phase[] = [];

  private first = 0;

  constructor(private readonly random: Random) {}

  /**
   * @param atMs - a moment not long before the latest one asked for
   * @returns how many times slower the target is then
   */
  factorAt(atMs: number): number {
    const phase = this.phaseEndingAfter(atMs);
    return phase.startMs <= atMs ? SLOW_FACTOR : 1;
  }

  /**
   * @param startMs - when the work starts
   * @param workMs - how long it takes without noise
   * @returns when the work is done
   */
  finishAt(startMs: number, workMs: number): number {
    let atMs = startMs;
    let leftMs = workMs;
    for (;;) {
      const phase = this.phaseEndingAfter(atMs);
      const isSlow = phase.startMs <= atMs;
      const factor = isSlow ? SLOW_FACTOR : 1;
      const untilMs = isSlow ? phase.endMs : phase.startMs;
      if (atMs + leftMs * factor <= untilMs) return atMs + leftMs * factor;
      leftMs -= (untilMs - atMs) / factor;
      atMs = untilMs;
    }
  }

  private phaseEndingAfter(atMs: number): Phase {
    const { phases } = this;
    let index = this.first;
    while (index > 0 && (phases[index - 1] as Phase).endMs > atMs) index -= 1;
    while (index >= phases.length || (phases[index] as Phase).endMs <= atMs) {
      if (index >= phases.length) this.addPhase();
      else index += 1;
    }
    this.first = index;
    return phases[index] as Phase;
  }

  private addPhase(): void {
    const last = this.phases[this.phases.length - 1]?.endMs ?? 0;
    const startMs = last + sampleExponential(this.random, MEAN_GAP_MS);
    const lengthMs = SHORTEST_MS * (LONGEST_MS / SHORTEST_MS) ** this.random();
    this.phases.push({ startMs, endMs: startMs + lengthMs });
  }
}
