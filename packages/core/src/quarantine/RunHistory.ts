import AnswerHistory from './AnswerHistory';
import type BrokenRun from './BrokenRun';
import CRASH_LIMIT from './crashLimit';
import CrashHistory from './CrashHistory';
import TargetEnds from './TargetEnds';

/** Number of crashes in a row after which a request is refused that targets have answered. */
const ANSWERED_CRASH_LIMIT = 9;
/** Maximum number of requests of which other VMs may know crashes, the oldest evicted first. */
const MAX_CONTESTED = 1024;

/**
 * Decides at one entry which requests crash the targets that run them, from how their runs ended
 * and from what other VMs report.
 *
 * Load pattern: targets end under requests that have nothing to do with it, most often under those
 * that many callers repeat. These are answered by other targets before and afterwards, while a
 * request that crashes targets is answered by none. What has been answered of late is therefore
 * judged by the runs at this entry alone: what others report was answered there, too.
 */
export default class RunHistory {
  private readonly crashes = new CrashHistory();

  private readonly answers = new AnswerHistory();

  private readonly ends = new TargetEnds();

  /** Requests of which other VMs may know crashes since the last response that they know. */
  private readonly contested = new Set<string>();

  /**
   * Records that a target answered a request, which clears the request of earlier crashes.
   *
   * @param fingerprint - fingerprint of the request
   * @param nowMs - time on the monotonic clock, in milliseconds
   * @returns whether other VMs may know of crashes, and nothing of a response since
   */
  recordResponse(fingerprint: string, nowMs: number): boolean {
    this.answers.record(fingerprint, nowMs);
    this.crashes.recordResponse(fingerprint);
    return this.contested.delete(fingerprint);
  }

  /**
   * Records that a target crashed while it ran a request. Several runs that the same end of a
   * target broke off count as one crash, and one before the last response counts as none.
   *
   * @param run - the run that the target broke off
   * @param nowMs - time on the monotonic clock, in milliseconds
   * @returns whether it counts as a crash
   */
  recordCrash({
    fingerprint, targetId, startedAtMs, brokenAtMs,
  }: BrokenRun, nowMs: number): boolean {
    const isKnownEnd = startedAtMs <= this.ends.lastAtMs(fingerprint, targetId);
    if (isKnownEnd || brokenAtMs <= this.answers.lastAtMs(fingerprint)) return false;
    this.ends.record(fingerprint, targetId, brokenAtMs);
    this.crashes.recordCrash(fingerprint, nowMs);
    if (this.mustReport(fingerprint, nowMs)) this.contest(fingerprint);
    return true;
  }

  /**
   * Records a crash that another entry reported.
   *
   * @param fingerprint - fingerprint of the request
   * @param nowMs - time on the monotonic clock, in milliseconds
   * @param targetId - the target that crashed; undefined if an older build reported it
   */
  recordReportedCrash(fingerprint: string, nowMs: number, targetId?: string): void {
    this.contest(fingerprint);
    if (this.answers.includes(fingerprint, nowMs)) return;
    const isNew = targetId === undefined || this.ends.recordReport(fingerprint, targetId, nowMs);
    if (isNew) this.crashes.recordCrash(fingerprint, nowMs);
  }

  /**
   * Records how many crashes control knows of, which may include those that are recorded here.
   *
   * @param fingerprint - fingerprint of the request
   * @param count - number of crashes
   * @param nowMs - time on the monotonic clock, in milliseconds
   */
  recordKnownCrashes(fingerprint: string, count: number, nowMs: number): void {
    this.contest(fingerprint);
    if (this.answers.includes(fingerprint, nowMs)) return;
    this.crashes.recordKnownCrashes(fingerprint, count, nowMs);
  }

  /** @returns the number of crashes since the last response */
  count(fingerprint: string, nowMs: number): number {
    return this.crashes.count(fingerprint, nowMs);
  }

  /** @returns whether other VMs must know of the crashes at this entry */
  mustReport(fingerprint: string, nowMs: number): boolean {
    const count = this.crashes.count(fingerprint, nowMs);
    return count >= (this.answers.includes(fingerprint, nowMs) ? CRASH_LIMIT : 1);
  }

  /**
   * Returns whether a request must be refused.
   *
   * @param fingerprint - fingerprint of the request
   * @param nowMs - time on the monotonic clock, in milliseconds
   * @returns true if the request must not be sent to another target
   */
  isQuarantined(fingerprint: string, nowMs: number): boolean {
    if (this.crashes.isEmpty || !this.crashes.isQuarantined(fingerprint, nowMs)) return false;
    return !this.answers.includes(fingerprint, nowMs)
      || this.crashes.count(fingerprint, nowMs) >= ANSWERED_CRASH_LIMIT;
  }

  private contest(fingerprint: string): void {
    this.contested.add(fingerprint);
    const [oldest] = this.contested;
    if (this.contested.size > MAX_CONTESTED && oldest !== undefined) this.contested.delete(oldest);
  }
}
