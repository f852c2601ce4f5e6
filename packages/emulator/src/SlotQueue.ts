/** The slots of an emulated target, with a FIFO queue of requests that wait for one. */
export default class SlotQueue {
  private readonly waiting: (() => void)[] = [];

  private held = 0;

  /**
   * @param countSlots - returns the current number of slots
   */
  constructor(private readonly countSlots: () => number) {}

  /** Number of requests in the queue. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Number of requests that hold a slot. */
  get heldCount(): number {
    return this.held;
  }

  /**
   * Acquires a slot, or waits in the queue for one.
   *
   * @param onSlot - called once the slot is acquired, possibly synchronously
   * @returns releases the slot or leaves the queue; must be called exactly once
   */
  acquire(onSlot: () => void): () => void {
    let isHolding = false;
    const start = (): void => {
      isHolding = true;
      this.held += 1;
      onSlot();
    };
    this.waiting.push(start);
    this.startNext();
    return () => {
      if (isHolding) this.held -= 1;
      else this.waiting.splice(this.waiting.indexOf(start), 1);
      this.startNext();
    };
  }

  private startNext(): void {
    while (this.held < this.countSlots()) {
      const start = this.waiting.shift();
      if (start === undefined) return;
      start();
    }
  }
}
