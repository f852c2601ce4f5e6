import type Random from '@guavayard/core/types/Random';

import sampleExponential from './sampleExponential';

const MIN_PHASE_MS = 5;
const MAX_PHASE_MS = 500;
const MEAN_GAP_MS = 1300;
/** Factor on the service time while a noisy neighbour is active. */
const SLOW_FACTOR = 4;
/** Mean of the log-uniform distribution of phase lengths. */
const MEAN_PHASE_MS = (MAX_PHASE_MS - MIN_PHASE_MS) / Math.log(MAX_PHASE_MS / MIN_PHASE_MS);

interface Phase {
  readonly startMs: number;
  readonly endMs: number;
}

/**
 * The phases in which noisy neighbours slow a target down. They depend only on the generator, so
 * that every policy of a run with the same seed meets the same phases.
 */
export default class NoisePhases {
  /** Mean share of a target's capacity that remains with slow phases taken into account. */
  static readonly MEAN_CAPACITY_SHARE = 1
    - (MEAN_PHASE_MS / (MEAN_PHASE_MS + MEAN_GAP_MS)) * (1 - 1 / SLOW_FACTOR);

  private readonly phases: Phase[] = [];

  private cursor = 0;

  constructor(private readonly random: Random) {}

  /**
   * @param atMs - a time; the search starts at the phase found last, so it should be close to it
   * @returns the factor on the service time at that time
   */
  factorAt(atMs: number): number {
    const phase = this.findPhaseEndingAfter(atMs);
    return phase.startMs <= atMs ? SLOW_FACTOR : 1;
  }

  /**
   * @param startMs - when the work starts
   * @param workMs - service time without slowdown, in milliseconds
   * @returns when the work is done
   */
  finishAt(startMs: number, workMs: number): number {
    let atMs = startMs;
    let remainingMs = workMs;
    for (;;) {
      const phase = this.findPhaseEndingAfter(atMs);
      const isSlow = phase.startMs <= atMs;
      const factor = isSlow ? SLOW_FACTOR : 1;
      const untilMs = isSlow ? phase.endMs : phase.startMs;
      if (atMs + remainingMs * factor <= untilMs) return atMs + remainingMs * factor;
      remainingMs -= (untilMs - atMs) / factor;
      atMs = untilMs;
    }
  }

  private findPhaseEndingAfter(atMs: number): Phase {
    const { phases } = this;
    let index = this.cursor;
    while (index > 0 && (phases[index - 1] as Phase).endMs > atMs) index -= 1;
    while (index >= phases.length || (phases[index] as Phase).endMs <= atMs) {
      if (index >= phases.length) this.addPhase();
      else index += 1;
    }
    this.cursor = index;
    return phases[index] as Phase;
  }

  private addPhase(): void {
    const last = this.phases[this.phases.length - 1]?.endMs ?? 0;
    const startMs = last + sampleExponential(this.random, MEAN_GAP_MS);
    const lengthMs = MIN_PHASE_MS * (MAX_PHASE_MS / MIN_PHASE_MS) ** this.random();
    this.phases.push({ startMs, endMs: startMs + lengthMs });
  }
}
