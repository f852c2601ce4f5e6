/** Slots of an emulated target and the requests that wait for one, first come first served. */
export default class SlotQueue {
  private readonly waiting: (() => void)[] = [];

  private held = 0;

  /**
   * @param countSlots - slots that there are now
   */
  constructor(private readonly countSlots: () => number) {}

  /** Requests that wait. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Requests that hold a slot. */
  get heldCount(): number {
    return this.held;
  }

  /**
   * Asks for a slot.
   *
   * @param onSlot - called once the slot is held, at once or later
   * @returns gives the slot or the place in the queue back; called exactly once
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
