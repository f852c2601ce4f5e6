/** Maximum number of remembered ends; the one that was recorded first is evicted first. */
const MAX_ENDS = 1024;
/** Longest time between two reports of the same end of a target, in milliseconds. */
const REPORT_SPREAD_MS = 2000;

/** Remembers which ends of targets have been counted as crashes of the requests that they ran. */
export default class TargetEnds {
  /** When each target last ended under a request, in milliseconds. */
  private readonly endsAtMs = new Map<string, number>();

  /**
   * Records the end of a target, when a run was broken off.
   *
   * @param fingerprint - fingerprint of a request that the target ran
   * @param targetId - the target
   * @param atMs - when it ended, or was reported to have ended, in milliseconds
   */
  record(fingerprint: string, targetId: string, atMs: number): void {
    const key = `${fingerprint} ${targetId}`;
    this.endsAtMs.delete(key);
    this.endsAtMs.set(key, atMs);
    const [oldest] = this.endsAtMs.keys();
    if (this.endsAtMs.size > MAX_ENDS && oldest !== undefined) this.endsAtMs.delete(oldest);
  }

  /** @returns when the target last ended under the request; -Infinity if that is not known */
  lastAtMs(fingerprint: string, targetId: string): number {
    return this.endsAtMs.get(`${fingerprint} ${targetId}`) ?? -Infinity;
  }

  /**
   * Records a report of an end.
   *
   * @param fingerprint - fingerprint of a request that the target ran
   * @param targetId - the target
   * @param nowMs - time on the monotonic clock, in milliseconds
   * @returns whether it is the first report of this end
   */
  recordReport(fingerprint: string, targetId: string, nowMs: number): boolean {
    if (nowMs - this.lastAtMs(fingerprint, targetId) <= REPORT_SPREAD_MS) return false;
    this.record(fingerprint, targetId, nowMs);
    return true;
  }
}
