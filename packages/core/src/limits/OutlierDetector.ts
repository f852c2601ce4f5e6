const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 1000;
const MAX_EJECTION_MS = 30_000;
/** Ejections stop growing after this many. */
const MAX_DOUBLINGS = 5;

interface Ejection {
  untilMs: number;
  times: number;
}

/** Takes targets that fail one request after the other out of the choice, never over half. */
export default class OutlierDetector {
  private readonly ejections = new Map<string, Ejection>();

  /**
   * Takes the count of failures of a target.
   *
   * @param targetId - the target
   * @param consecutiveFailures - failures since its last good answer
   * @param candidateCount - targets of the service
   * @param nowMs - monotonic clock, in milliseconds
   */
  recordFailure(
    targetId: string,
    consecutiveFailures: number,
    candidateCount: number,
    nowMs: number,
  ): void {
    if (consecutiveFailures < FAILURES_TO_EJECT || this.isEjected(targetId, nowMs)) return;
    if ((this.countEjected(nowMs) + 1) * 2 > candidateCount) return;
    const times = this.ejections.get(targetId)?.times ?? 0;
    const lengthMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** times);
    this.ejections.set(targetId, {
      untilMs: nowMs + lengthMs, times: Math.min(MAX_DOUBLINGS, times + 1),
    });
  }

  /**
   * Takes a good answer of a target.
   *
   * @param targetId - the target
   */
  recordSuccess(targetId: string): void {
    if (this.ejections.size > 0) this.ejections.delete(targetId);
  }

  /**
   * @param targetId - the target
   * @param nowMs - monotonic clock, in milliseconds
   * @returns whether the target is out of the choice
   */
  isEjected(targetId: string, nowMs: number): boolean {
    if (this.ejections.size === 0) return false;
    return (this.ejections.get(targetId)?.untilMs ?? 0) > nowMs;
  }

  private countEjected(nowMs: number): number {
    return [...this.ejections.values()].filter((ejection) => ejection.untilMs > nowMs).length;
  }
}
