import type Clock from '@guavayard/core/types/Clock';

/** The load from a point in time on. */
interface Sample {
  readonly atMs: number;
  readonly load: number;
}

/** Tracks the load of a target and its recent history. */
export default class LoadMeter {
  private samples: Sample[] = [{ atMs: -Infinity, load: 0 }];

  /**
   * @param clock - monotonic clock
   */
  constructor(private readonly clock: Clock) {}

  /** @returns the current load */
  get current(): number {
    return this.samples[this.samples.length - 1]?.load ?? 0;
  }

  /**
   * Changes the current load.
   *
   * @param delta - number of requests that started; negative for those that ended
   * @param retentionMs - how long earlier loads must be kept, in milliseconds
   */
  add(delta: number, retentionMs: number): void {
    const nowMs = this.clock();
    this.samples.push({ atMs: nowMs, load: this.current + delta });
    const oldest = this.samples.findLastIndex((sample) => sample.atMs <= nowMs - retentionMs);
    if (oldest > 0) this.samples = this.samples.slice(oldest);
  }

  /**
   * @param ageMs - how long ago, in milliseconds
   * @returns the load at that time
   */
  valueBefore(ageMs: number): number {
    const atMs = this.clock() - ageMs;
    return this.samples.findLast((sample) => sample.atMs <= atMs)?.load ?? 0;
  }
}
