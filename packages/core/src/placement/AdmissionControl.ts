/** Times of one waiting request, in milliseconds. */
interface WaitBounds {
  /** Time within which an answer has its full worth. */
  readonly targetLatencyMs: number;
  /** Time that is left in all. */
  readonly remainingMs: number;
}

interface Arrival extends WaitBounds {
  /** Requests that wait already and go first. */
  readonly ahead: number;
}

/** Part of the target latency that a request may wait for a free slot. */
const WAIT_SHARE = 0.35;
/** Shortest time within which a refused caller may come back, in milliseconds. */
const MIN_RETRY_AFTER_MS = 150;
const MAX_RETRY_AFTER_MS = 1500;
/** Dispatches that the estimate of the rate remembers. */
const RATE_SAMPLES = 16;
const RATE_MAX_AGE_MS = 2000;
/** Dispatches from one queue before its rate is believed. */
const MIN_SAMPLES = 3;
/** Time to find a target for one waiting request while slots are free, in milliseconds. */
const SEARCH_MS = 15;

/**
 * Decides for one service of one entry how long requests wait for a free slot, and who is refused.
 *
 * Load pattern: more requests than slots for seconds on end. Requests that wait past their target
 * latency take slots from those that could still be answered in time, so the queue is kept short
 * enough that what is admitted is answered in time, and the rest is refused at once.
 */
export default class AdmissionControl {
  private dispatches: number[] = [];

  /** Notes that nobody waits any more: the rate before says nothing of what could be served. */
  endQueue(): void {
    this.dispatches = [];
  }

  /** Notes that a waiting request got a slot. */
  recordDispatch(nowMs: number): void {
    this.dispatches.push(nowMs);
    if (this.dispatches.length > RATE_SAMPLES) this.dispatches.shift();
  }

  /**
   * @param bounds - the request
   * @returns how long the request may wait, in milliseconds
   */
  static longestWaitMs(bounds: WaitBounds): number {
    return Math.min(bounds.targetLatencyMs * WAIT_SHARE, bounds.remainingMs / 2);
  }

  /**
   * Tells whether a request that arrives now can get a slot in time.
   *
   * @param arrival - the request and the queue
   * @param nowMs - monotonic clock
   * @returns false if it is better refused at once
   */
  mayWait(arrival: Arrival, nowMs: number): boolean {
    if (arrival.ahead === 0) return true;
    return this.expectedWaitMs(arrival.ahead, nowMs) <= AdmissionControl.longestWaitMs(arrival);
  }

  /**
   * Tells a refused caller when to come back: after the queue has drained, spread so that those
   * refused together do not come back together.
   *
   * @param ahead - requests that wait
   * @param random - from 0 to 1
   * @param nowMs - monotonic clock
   * @returns the time in milliseconds
   */
  retryAfterMs(ahead: number, random: number, nowMs: number): number {
    const drained = this.expectedWaitMs(ahead, nowMs);
    const base = Math.min(MAX_RETRY_AFTER_MS / 2, Math.max(MIN_RETRY_AFTER_MS, drained));
    return base * (1 + random);
  }

  private expectedWaitMs(ahead: number, nowMs: number): number {
    const since = nowMs - RATE_MAX_AGE_MS;
    this.dispatches = this.dispatches.filter((atMs) => atMs > since);
    const [oldest] = this.dispatches;
    // Too little to go by; the bound on the wait still holds.
    if (oldest === undefined || this.dispatches.length < MIN_SAMPLES) return ahead * SEARCH_MS;
    const intervalMs = Math.max(1, nowMs - oldest) / this.dispatches.length;
    return ahead * intervalMs;
  }
}
