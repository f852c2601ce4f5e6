/** A virtual clock with a resolution of one millisecond. */
export default class VirtualTime {
  nowMs = 0;

  private readonly due = new Map<number, (() => void)[]>();

  /** Runs a function after a delay. */
  after(delayMs: number, run: () => void): void {
    const atMs = Math.max(this.nowMs + 1, Math.round(this.nowMs + delayMs));
    const runs = this.due.get(atMs);
    if (runs === undefined) this.due.set(atMs, [run]);
    else runs.push(run);
  }

  /** Lets time pass. */
  advanceTo(endMs: number): void {
    while (this.nowMs < endMs) {
      this.nowMs += 1;
      const runs = this.due.get(this.nowMs);
      this.due.delete(this.nowMs);
      runs?.forEach((run) => run());
    }
  }
}
