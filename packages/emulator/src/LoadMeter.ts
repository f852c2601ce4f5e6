import type Clock from '@guavayard/core/types/Clock';

interface Sample {
  readonly atMs: number;
  readonly load: number;
}

/** The load of a target as it was some time ago. */
export default class LoadMeter {
  private samples: Sample[] = [{ atMs: -Infinity, load: 0 }];

  /**
   * @param clock - monotonic clock
   */
  constructor(private readonly clock: Clock) {}

  /** @returns the present load */
  get current(): number {
    return this.samples[this.samples.length - 1]?.load ?? 0;
  }

  /**
   * Changes the load.
   *
   * @param change - requests that came, or went if negative
   * @param keepMs - time that the former loads must be kept
   */
  add(change: number, keepMs: number): void {
    const nowMs = this.clock();
    this.samples.push({ atMs: nowMs, load: this.current + change });
    const oldest = this.samples.findLastIndex((sample) => sample.atMs <= nowMs - keepMs);
    if (oldest > 0) this.samples = this.samples.slice(oldest);
  }

  /**
   * @param ageMs - how long ago
   * @returns the load at that time
   */
  before(ageMs: number): number {
    const atMs = this.clock() - ageMs;
    return this.samples.findLast((sample) => sample.atMs <= atMs)?.load ?? 0;
  }
}
