import AnswerHistory from './AnswerHistory';
import type BrokenRun from './BrokenRun';
import CrashHistory from './CrashHistory';

/** Maximum number of remembered ends of targets, over all requests. */
const MAX_ENDS = 1024;

/**
 * Decides at one entry which requests crash the targets that run them, from how their runs ended
 * and from what other VMs report.
 *
 * Load pattern: targets end under requests that have nothing to do with it, most often under those
 * that many callers repeat. These are answered by other targets before and afterwards, while a
 * request that crashes targets is answered by none. What this entry has seen answered is therefore
 * judged by the runs at this entry alone: other entries may not have seen the responses.
 */
export default class RunHistory {
  private readonly crashes = new CrashHistory();

  private readonly answers = new AnswerHistory();

  /** When targets ended under requests, by fingerprint and target, in milliseconds. */
  private readonly endsAtMs = new Map<string, number>();

  /**
   * Records that a target answered a request, which clears the request of earlier crashes.
   *
   * @param fingerprint - fingerprint of the request
   * @param nowMs - time on the monotonic clock, in milliseconds
   * @returns whether other VMs may know of crashes, and nothing of a response
   */
  recordResponse(fingerprint: string, nowMs: number): boolean {
    const isNews = this.answers.count(fingerprint, nowMs) < this.count(fingerprint, nowMs);
    this.answers.record(fingerprint, nowMs);
    this.crashes.recordResponse(fingerprint);
    return isNews;
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
    const key = `${fingerprint} ${targetId}`;
    const isKnownEnd = startedAtMs <= (this.endsAtMs.get(key) ?? -Infinity);
    if (isKnownEnd || brokenAtMs <= this.answers.lastAtMs(fingerprint)) return false;
    this.endsAtMs.delete(key);
    this.endsAtMs.set(key, brokenAtMs);
    const [oldest] = this.endsAtMs.keys();
    if (this.endsAtMs.size > MAX_ENDS && oldest !== undefined) this.endsAtMs.delete(oldest);
    this.crashes.recordCrash(fingerprint, nowMs);
    return true;
  }

  /**
   * Records a crash that another entry reported.
   *
   * @param fingerprint - fingerprint of the request
   * @param nowMs - time on the monotonic clock, in milliseconds
   * @returns whether it counts; what this entry has seen answered does not
   */
  recordReportedCrash(fingerprint: string, nowMs: number): boolean {
    if (this.answers.count(fingerprint, nowMs) > 0) return false;
    this.crashes.recordCrash(fingerprint, nowMs);
    return true;
  }

  /**
   * Records how many crashes control knows of, which may include those that are recorded here.
   *
   * @param fingerprint - fingerprint of the request
   * @param count - number of crashes
   * @param nowMs - time on the monotonic clock, in milliseconds
   * @returns whether they count; what this entry has seen answered does not
   */
  recordKnownCrashes(fingerprint: string, count: number, nowMs: number): boolean {
    if (this.answers.count(fingerprint, nowMs) > 0) return false;
    this.crashes.recordKnownCrashes(fingerprint, count, nowMs);
    return true;
  }

  /** @returns the number of crashes since the last response */
  count(fingerprint: string, nowMs: number): number {
    return this.crashes.count(fingerprint, nowMs);
  }

  /** @returns whether targets have answered a request of late at least as often as crashed */
  isMostlyAnswered(fingerprint: string, nowMs: number): boolean {
    const answers = this.answers.count(fingerprint, nowMs);
    return answers > 0 && answers >= this.crashes.count(fingerprint, nowMs);
  }

  /**
   * Returns whether a request must be refused.
   *
   * @param fingerprint - fingerprint of the request
   * @param nowMs - time on the monotonic clock, in milliseconds
   * @returns true if the request must not be sent to another target
   */
  isQuarantined(fingerprint: string, nowMs: number): boolean {
    return !this.crashes.isEmpty
      && this.crashes.isQuarantined(fingerprint, nowMs)
      && !this.isMostlyAnswered(fingerprint, nowMs);
  }
}
