/** Weight of the newest duration in the moving average. */
const SMOOTHING_FACTOR = 0.1;
/** Samples before the average is reliable. */
const MIN_SAMPLES = 8;

/** Exponential moving average of durations; the first samples count equally. */
export default class DurationAverage {
  private samples = 0;

  private value = 0;

  /** The average, undefined while there are too few samples. */
  get reliableValue(): number | undefined {
    return this.samples < MIN_SAMPLES ? undefined : this.value;
  }

  add(value: number): void {
    this.samples += 1;
    this.value += Math.max(SMOOTHING_FACTOR, 1 / this.samples) * (value - this.value);
  }
}
