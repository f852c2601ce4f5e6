import CRASH_LIMIT from './crashLimit';
import RETENTION_MS from './retentionMs';

/** Maximum number of tracked requests; the one that crashed least recently is evicted first. */
const MAX_REQUESTS = 1024;

interface CrashRecord {
  /** Crashes since the last response. */
  count: number;
  /** All crashes, as other VMs count them, which do not know the responses. */
  readonly total: number;
  readonly atMs: number;
}

/** A request that has crashed targets. */
interface CrashedRequest {
  readonly fingerprint: string;
  /** Number of crashes, at most those after which it is refused. */
  readonly count: number;
}

/**
 * Tracks which requests crash the targets that run them ("poison" requests).
 *
 * Load pattern: one request in many thousands crashes every target that runs it, and its caller
 * resends it through any entry. Other requests in flight on the same target fail as well; a later
 * response clears them.
 */
export default class CrashHistory {
  private readonly records = new Map<string, CrashRecord>();

  /** Whether no crash is recorded, which is the common case. */
  get isEmpty(): boolean {
    return this.records.size === 0;
  }

  /**
   * Records that a target crashed while it ran a request.
   *
   * @param fingerprint - fingerprint of the request
   * @param nowMs - time on the monotonic clock, in milliseconds
   * @returns the number of crashes recorded for this request
   */
  recordCrash(fingerprint: string, nowMs: number): number {
    const known = this.find(fingerprint, nowMs);
    const record = {
      count: (known?.count ?? 0) + 1, total: (known?.total ?? 0) + 1, atMs: nowMs,
    };
    this.records.delete(fingerprint);
    this.records.set(fingerprint, record);
    const [oldest] = this.records.keys();
    if (this.records.size > MAX_REQUESTS && oldest !== undefined) this.records.delete(oldest);
    return record.count;
  }

  /**
   * Records how many crashes another VM knows of, which may include those that are recorded here.
   * What a response has cleared since is not restored.
   *
   * @param fingerprint - fingerprint of the request
   * @param count - number of crashes
   * @param nowMs - time on the monotonic clock, in milliseconds
   */
  recordKnownCrashes(fingerprint: string, count: number, nowMs: number): void {
    const known = this.find(fingerprint, nowMs);
    if (known?.count === 0) return;
    for (let recorded = known?.total ?? 0; recorded < count; recorded += 1) {
      this.recordCrash(fingerprint, nowMs);
    }
  }

  /** Records that a target answered a request, which clears the request of earlier crashes. */
  recordResponse(fingerprint: string): void {
    const record = this.records.get(fingerprint);
    if (record !== undefined) record.count = 0;
  }

  /** @returns the requests that have crashed targets of late, the most recent last */
  list(nowMs: number): CrashedRequest[] {
    return [...this.records.keys()].flatMap((fingerprint) => {
      const count = Math.min(CRASH_LIMIT, this.find(fingerprint, nowMs)?.count ?? 0);
      return count > 0 ? [{ fingerprint, count }] : [];
    });
  }

  /**
   * Returns whether a request has reached the crash limit and must be refused.
   *
   * @param fingerprint - fingerprint of the request
   * @param nowMs - time on the monotonic clock, in milliseconds
   * @returns true if the request must not be sent to another target
   */
  isQuarantined(fingerprint: string, nowMs: number): boolean {
    return this.count(fingerprint, nowMs) >= CRASH_LIMIT;
  }

  /** @returns the number of crashes since the last response */
  count(fingerprint: string, nowMs: number): number {
    return this.find(fingerprint, nowMs)?.count ?? 0;
  }

  private find(fingerprint: string, nowMs: number): CrashRecord | undefined {
    const record = this.records.get(fingerprint);
    if (record === undefined || nowMs - record.atMs <= RETENTION_MS) return record;
    this.records.delete(fingerprint);
    return undefined;
  }
}
