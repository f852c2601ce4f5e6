/** Latency target and remaining time of one queued request, in milliseconds. */
interface WaitBounds {
  /** Latency up to which a response has its full value. */
  readonly targetLatencyMs: number;
  /** Time until the deadline of the request. */
  readonly remainingMs: number;
}

interface Arrival extends WaitBounds {
  /** Queued requests that are served first. */
  readonly ahead: number;
}

/** Share of the target latency that a request may wait for a free slot. */
const WAIT_SHARE = 0.35;
/** Lower bound of the base delay before a refused caller retries, in milliseconds. */
const MIN_RETRY_AFTER_MS = 150;
const MAX_RETRY_AFTER_MS = 1500;
/** Most recent dispatches from which the dispatch rate is estimated. */
const RATE_SAMPLES = 16;
const RATE_MAX_AGE_MS = 2000;
/** Dispatches from one queue before its rate has enough samples. */
const MIN_SAMPLES = 3;
/** Time to find a target for one queued request while slots are free, in milliseconds. */
const SEARCH_MS = 15;

/**
 * Decides how long requests to one service wait in this entry for a free slot, and which requests
 * are refused.
 *
 * Load pattern: more requests than slots for several seconds. Requests that wait past their target
 * latency take slots from requests that could still finish in time. The queue is therefore kept
 * short enough that admitted requests finish in time, and the rest is refused on arrival.
 */
export default class AdmissionControl {
  private dispatchesAtMs: number[] = [];

  /** Resets the dispatch rate when the queue is empty: it no longer reflects the capacity. */
  resetDispatchRate(): void {
    this.dispatchesAtMs = [];
  }

  /** Records that a queued request was given a slot. */
  recordDispatch(nowMs: number): void {
    this.dispatchesAtMs.push(nowMs);
    if (this.dispatchesAtMs.length > RATE_SAMPLES) this.dispatchesAtMs.shift();
  }

  /**
   * @param bounds - target latency and remaining time of the request
   * @returns the longest time that the request may wait, in milliseconds
   */
  static longestWaitMs(bounds: WaitBounds): number {
    return Math.min(bounds.targetLatencyMs * WAIT_SHARE, bounds.remainingMs / 2);
  }

  /**
   * Returns whether a request that arrives now can expect a slot in time.
   *
   * @param arrival - the request and the queue length ahead of it
   * @param nowMs - monotonic clock
   * @returns false if the request should be refused on arrival
   */
  mayWait(arrival: Arrival, nowMs: number): boolean {
    if (arrival.ahead === 0) return true;
    return this.expectedWaitMs(arrival.ahead, nowMs) <= AdmissionControl.longestWaitMs(arrival);
  }

  /**
   * Returns the delay before a refused caller should retry: the time to drain the queue, with
   * jitter so that callers refused together do not retry together.
   *
   * @param ahead - queued requests
   * @param random - jitter, from 0 to 1
   * @param nowMs - monotonic clock
   * @returns the delay in milliseconds
   */
  retryAfterMs(ahead: number, random: number, nowMs: number): number {
    const drainMs = this.expectedWaitMs(ahead, nowMs);
    const baseMs = Math.min(MAX_RETRY_AFTER_MS / 2, Math.max(MIN_RETRY_AFTER_MS, drainMs));
    return baseMs * (1 + random);
  }

  private expectedWaitMs(ahead: number, nowMs: number): number {
    const since = nowMs - RATE_MAX_AGE_MS;
    this.dispatchesAtMs = this.dispatchesAtMs.filter((atMs) => atMs > since);
    const [oldest] = this.dispatchesAtMs;
    // Too few samples for a rate; the limit on the wait still applies.
    if (oldest === undefined || this.dispatchesAtMs.length < MIN_SAMPLES) return ahead * SEARCH_MS;
    const intervalMs = Math.max(1, nowMs - oldest) / this.dispatchesAtMs.length;
    return ahead * intervalMs;
  }
}
