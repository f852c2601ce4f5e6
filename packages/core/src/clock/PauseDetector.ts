/** Gap between two ticks from which the process counts as paused, in milliseconds. */
const MIN_PAUSE_MS = 700;
/** Time after a pause in which calls are read that arrived during it, in milliseconds. */
const CATCH_UP_MS = 1000;

/**
 * Notices that the process has stood still, for instance because its VM was frozen. What it reads
 * right after that may have waited in its sockets for as long.
 */
export default class PauseDetector {
  private resumedAtMs = -Infinity;

  /** @param tickedAtMs - monotonic clock that counts suspends, at the start */
  constructor(private tickedAtMs: number) {}

  /** Records that the process runs; called at short intervals. */
  tick(nowMs: number): void {
    if (nowMs - this.tickedAtMs >= MIN_PAUSE_MS) this.resumedAtMs = nowMs;
    this.tickedAtMs = nowMs;
  }

  /**
   * Returns whether what is read now may have arrived before or during a pause.
   *
   * @param nowMs - monotonic clock that counts suspends
   * @returns true during the first time after a pause
   */
  hasJustResumed(nowMs: number): boolean {
    return nowMs - this.tickedAtMs >= MIN_PAUSE_MS || nowMs - this.resumedAtMs < CATCH_UP_MS;
  }
}
