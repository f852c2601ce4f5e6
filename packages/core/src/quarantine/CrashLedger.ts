/** Targets that a request may crash before it is refused. */
const CRASH_LIMIT = 3;
/** How long a request without further crashes is remembered, in milliseconds. */
const MEMORY_MS = 300_000;
/** Requests that are remembered; those of the oldest crash are forgotten first. */
const MAX_REQUESTS = 1024;

interface CrashRecord {
  count: number;
  atMs: number;
}

/**
 * Remembers which requests crash the targets that run them.
 *
 * Load pattern: one request in many thousands ends each target that runs it, and its caller sends
 * it again through any entry. Requests beside it on the same target fail as well; an answer clears
 * them.
 */
export default class CrashLedger {
  private readonly records = new Map<string, CrashRecord>();

  /** Whether no crash is remembered, as nearly always. */
  get isEmpty(): boolean {
    return this.records.size === 0;
  }

  /**
   * Notes that a target crashed while it ran a request.
   *
   * @param fingerprint - what tells the request from others
   * @param nowMs - monotonic clock
   * @returns crashes of this request so far
   */
  noteCrash(fingerprint: string, nowMs: number): number {
    const known = this.find(fingerprint, nowMs);
    const record = { count: (known?.count ?? 0) + 1, atMs: nowMs };
    this.records.delete(fingerprint);
    this.records.set(fingerprint, record);
    const [oldest] = this.records.keys();
    if (this.records.size > MAX_REQUESTS && oldest !== undefined) this.records.delete(oldest);
    return record.count;
  }

  /** Notes that a target answered a request: it does not crash targets. */
  noteAnswer(fingerprint: string): void {
    this.records.delete(fingerprint);
  }

  /**
   * @param fingerprint - what tells the request from others
   * @param nowMs - monotonic clock
   * @returns true if the request is better refused than sent once more
   */
  isQuarantined(fingerprint: string, nowMs: number): boolean {
    return (this.find(fingerprint, nowMs)?.count ?? 0) >= CRASH_LIMIT;
  }

  private find(fingerprint: string, nowMs: number): CrashRecord | undefined {
    const record = this.records.get(fingerprint);
    if (record === undefined || nowMs - record.atMs <= MEMORY_MS) return record;
    this.records.delete(fingerprint);
    return undefined;
  }
}
