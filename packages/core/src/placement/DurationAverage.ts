/** Weight of the newest duration in an average. */
const WEIGHT = 0.1;
/** Durations after which an average is trusted. */
const TRUSTED_SAMPLES = 8;

/** Moving average of durations; the first ones count equally. */
export default class DurationAverage {
  private samples = 0;

  private value = 0;

  /** The average, undefined before it can be trusted. */
  get trusted(): number | undefined {
    return this.samples < TRUSTED_SAMPLES ? undefined : this.value;
  }

  add(value: number): void {
    this.samples += 1;
    this.value += Math.max(WEIGHT, 1 / this.samples) * (value - this.value);
  }
}
