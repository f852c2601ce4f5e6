import DurationAverage from './DurationAverage';
import placementLimits from './placementLimits';

const MAX_KNEE_SLOWDOWN = 3;
/** Share of a latency target that work may take; the rest is for the wait and the way. */
const WORK_SHARE = 0.75;

/**
 * Estimates how long requests of one service take, and how much longer above the concurrency knee
 * of a target.
 */
export default class ServiceSpeed {
  private readonly belowKnee = new DurationAverage();

  private readonly aboveKnee = new DurationAverage();

  /**
   * Records the duration of a request that got a response.
   *
   * @param durationMs - time from sending the request to the complete response
   * @param slowness - slowness that the target reported when the request was sent
   * @param usedShare - share of the target's slots in use, this request included
   */
  record(durationMs: number, slowness: number, usedShare: number): void {
    // On a slowed target the duration reflects its neighbours rather than the service.
    if (slowness > placementLimits.usualSlowness) return;
    if (usedShare > placementLimits.kneeShare) this.aboveKnee.add(durationMs);
    else this.belowKnee.add(durationMs);
  }

  /** Factor by which work takes longer above the concurrency knee of a target. */
  get kneeSlowdown(): number {
    const { reliableValue: belowMs } = this.belowKnee;
    const { reliableValue: aboveMs } = this.aboveKnee;
    if (belowMs === undefined || aboveMs === undefined) return placementLimits.kneeFactor;
    return Math.min(MAX_KNEE_SLOWDOWN, Math.max(1, aboveMs / belowMs));
  }

  /** Usual duration in milliseconds, undefined while there are too few samples. */
  get usualMs(): number | undefined {
    return this.belowKnee.reliableValue ?? this.aboveKnee.reliableValue;
  }

  /**
   * Returns the concurrency at which a target serves most requests within their latency target.
   *
   * Load pattern: more requests than slots. While work above the knee is still done within the
   * latency target, a request is better placed there than refused. Beyond that, filling the last
   * slots pays off only if the added concurrency outweighs the slowdown of all requests.
   *
   * @param slots - slots of the target
   * @param targetLatencyMs - latency target of the request, in milliseconds
   * @returns the number of requests, at least 1
   */
  bestConcurrency(slots: number, targetLatencyMs: number): number {
    const { usualMs } = this;
    const slowedMs = usualMs === undefined ? Infinity : usualMs * this.kneeSlowdown;
    if (slowedMs <= WORK_SHARE * targetLatencyMs) return slots;
    const kneeSlots = Math.max(1, Math.floor(slots * placementLimits.kneeShare));
    return slots / this.kneeSlowdown > kneeSlots ? slots : kneeSlots;
  }
}
