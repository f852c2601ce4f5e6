import DurationAverage from './DurationAverage';
import placementLimits from './placementLimits';

const MAX_CROWDING = 3;

/**
 * Learns how long the requests of one service take, and how much longer on a target whose last
 * slot they take.
 */
export default class ServiceSpeed {
  private readonly roomy = new DurationAverage();

  private readonly crowded = new DurationAverage();

  /**
   * Takes the duration of a request that was answered.
   *
   * @param durationMs - from sending to the whole answer
   * @param slowness - slowness that the target told when the request was sent
   * @param used - share of the target's slots that were used with this request
   */
  record(durationMs: number, slowness: number, used: number): void {
    // On a slowed target the figure says more of its neighbours than of the service.
    if (slowness > placementLimits.usualSlowness) return;
    if (used > placementLimits.kneeShare) this.crowded.add(durationMs);
    else this.roomy.add(durationMs);
  }

  /** How much longer work takes in the last slots of a target. */
  get crowding(): number {
    const { trusted: roomy } = this.roomy;
    const { trusted: crowded } = this.crowded;
    if (roomy === undefined || crowded === undefined) return placementLimits.kneeFactor;
    return Math.min(MAX_CROWDING, Math.max(1, crowded / roomy));
  }

  /** Usual duration in milliseconds, undefined while too little is known. */
  get usualMs(): number | undefined {
    return this.roomy.trusted ?? this.crowded.trusted;
  }

  /**
   * Finds how many requests a target should hold to get most work done.
   *
   * Load pattern: more requests than slots. Filling the last slots pays only where the work that
   * they add outweighs how much it slows what the target does.
   *
   * @param slots - slots of the target
   * @returns the number, at least 1
   */
  bestConcurrency(slots: number): number {
    const belowKnee = Math.max(1, Math.floor(slots * placementLimits.kneeShare));
    return slots / this.crowding > belowKnee ? slots : belowKnee;
  }
}
