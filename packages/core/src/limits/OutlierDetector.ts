const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 1000;
const MAX_EJECTION_MS = 30_000;
/** The ejection time stops doubling after this many ejections. */
const MAX_DOUBLINGS = 5;

interface Ejection {
  untilMs: number;
  doublings: number;
}

/** Ejects targets that fail several requests in a row, but never more than half of a service. */
export default class OutlierDetector {
  private readonly ejections = new Map<string, Ejection>();

  /**
   * Records a failure of a target, and ejects the target after too many in a row.
   *
   * @param targetId - the target
   * @param consecutiveFailures - failures since its last successful response
   * @param candidateCount - number of candidate targets of the service
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
    const doublings = this.ejections.get(targetId)?.doublings ?? 0;
    const durationMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** doublings);
    this.ejections.set(targetId, {
      untilMs: nowMs + durationMs, doublings: Math.min(MAX_DOUBLINGS, doublings + 1),
    });
  }

  /**
   * Records a successful response of a target, which resets its ejection time.
   *
   * @param targetId - the target
   */
  recordSuccess(targetId: string): void {
    if (this.ejections.size > 0) this.ejections.delete(targetId);
  }

  /**
   * @param targetId - the target
   * @param nowMs - monotonic clock, in milliseconds
   * @returns whether the target is currently ejected
   */
  isEjected(targetId: string, nowMs: number): boolean {
    if (this.ejections.size === 0) return false;
    return (this.ejections.get(targetId)?.untilMs ?? 0) > nowMs;
  }

  private countEjected(nowMs: number): number {
    return [...this.ejections.values()].filter((ejection) => ejection.untilMs > nowMs).length;
  }
}
