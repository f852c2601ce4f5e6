import type Clock from '@guavayard/core/types/Clock';

/** First pause, in milliseconds; it doubles while no target of other regions has a free slot. */
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 1600;

/** Decides when targets of other regions, whose links are billed by volume, are probed again. */
export default class FarSearchPause {
  private pauseMs = MIN_PAUSE_MS;

  private endsAtMs = 0;

  /** @param clock - monotonic clock */
  constructor(private readonly clock: Clock) {}

  /** Whether they may be probed now. */
  get isOver(): boolean {
    return this.clock() >= this.endsAtMs;
  }

  /** Records that none of them had a free slot. */
  recordNone(): void {
    this.endsAtMs = this.clock() + this.pauseMs;
    this.pauseMs = Math.min(MAX_PAUSE_MS, this.pauseMs * 2);
  }

  /** Records that one of them had a free slot. */
  recordFound(): void {
    this.pauseMs = MIN_PAUSE_MS;
  }
}
