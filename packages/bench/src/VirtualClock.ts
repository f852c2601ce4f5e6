import type TimerHandle from './TimerHandle';

function isBefore(left: TimerHandle, right: TimerHandle): boolean {
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.sequence < right.sequence);
}

/** Clock that jumps from one timer to the next. Timers are kept in a binary heap. */
export default class VirtualClock {
  nowMs = 0;

  private readonly heap: TimerHandle[] = [];

  private sequence = 0;

  /**
   * Runs an action later.
   *
   * @param delayMs - how much later, in milliseconds
   * @param action - the action
   * @returns the timer, to cancel it
   */
  after(delayMs: number, action: () => void): TimerHandle {
    this.sequence += 1;
    const timer = { atMs: this.nowMs + delayMs, sequence: this.sequence, action };
    this.heap.push(timer);
    this.siftUp(this.heap.length - 1);
    return timer;
  }

  /**
   * Runs an action again and again.
   *
   * @param intervalMs - time between two runs, in milliseconds
   * @param action - the action
   */
  every(intervalMs: number, action: () => void): void {
    this.after(intervalMs, () => {
      action();
      this.every(intervalMs, action);
    });
  }

  /**
   * Runs all timers up to a moment.
   *
   * @param endMs - the moment, in milliseconds
   */
  runUntil(endMs: number): void {
    while (this.heap.length > 0 && (this.heap[0] as TimerHandle).atMs <= endMs) {
      const timer = this.pop();
      const { action } = timer;
      timer.action = undefined;
      if (action !== undefined) {
        this.nowMs = timer.atMs;
        action();
      }
    }
    this.nowMs = endMs;
  }

  private pop(): TimerHandle {
    const [top] = this.heap as [TimerHandle];
    const last = this.heap.pop() as TimerHandle;
    if (this.heap.length > 0) {
      this.heap[0] = last;
      this.siftDown();
    }
    return top;
  }

  private siftUp(start: number): void {
    const timer = this.heap[start] as TimerHandle;
    let at = start;
    while (at > 0) {
      const parentAt = Math.floor((at - 1) / 2);
      const parent = this.heap[parentAt] as TimerHandle;
      if (!isBefore(timer, parent)) break;
      this.heap[at] = parent;
      at = parentAt;
    }
    this.heap[at] = timer;
  }

  private siftDown(): void {
    const timer = this.heap[0] as TimerHandle;
    const { length } = this.heap;
    let at = 0;
    for (let child = 1; child < length; child = 2 * at + 1) {
      const right = this.heap[child + 1];
      if (right !== undefined && isBefore(right, this.heap[child] as TimerHandle)) child += 1;
      const smaller = this.heap[child] as TimerHandle;
      if (!isBefore(smaller, timer)) break;
      this.heap[at] = smaller;
      at = child;
    }
    this.heap[at] = timer;
  }
}
