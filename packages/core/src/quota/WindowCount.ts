/** Number of parts that a window is divided into. */
const PARTS = 20;

/** Sum of what was counted within a sliding window, to a twentieth of its length. */
export default class WindowCount {
  private readonly parts = new Map<number, number>();

  private sum = 0;

  /** @param windowMs - length of the window, in milliseconds */
  constructor(private readonly windowMs: number) {}

  /**
   * Adds a count.
   *
   * @param count - the count; negative to take some back
   * @param atMs - when it happened
   * @param nowMs - monotonic clock, in milliseconds
   */
  add(count: number, atMs: number, nowMs: number): void {
    const part = this.partOf(atMs);
    if (part < this.firstPart(nowMs)) return;
    this.parts.set(part, (this.parts.get(part) ?? 0) + count);
    this.sum += count;
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the sum over the window that ends now
   */
  sumAt(nowMs: number): number {
    const first = this.firstPart(nowMs);
    [...this.parts].filter(([part]) => part < first).forEach(([part, count]) => {
      this.parts.delete(part);
      this.sum -= count;
    });
    return this.sum;
  }

  private partOf(atMs: number): number {
    return Math.floor((atMs * PARTS) / this.windowMs);
  }

  private firstPart(nowMs: number): number {
    return this.partOf(nowMs) - PARTS;
  }
}
