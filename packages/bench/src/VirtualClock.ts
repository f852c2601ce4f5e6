import type TimerHandle from './TimerHandle';

function isBefore(left: TimerHandle, right: TimerHandle): boolean {
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.sequence < right.sequence);
}

/** Discrete-event clock that jumps from one timer to the next. Timers are kept in a binary heap. */
export default class VirtualClock {
  nowMs = 0;

  private readonly heap: TimerHandle[] = [];

  private sequence = 0;

  /**
   * Schedules a one-shot action.
   *
   * @param delayMs - delay, in milliseconds
   * @param action - the action
   * @returns the timer; clearing its `action` cancels it
   */
  after(delayMs: number, action: () => void): TimerHandle {
    this.sequence += 1;
    const timer = { atMs: this.nowMs + delayMs, sequence: this.sequence, action };
    this.heap.push(timer);
    this.siftUp(this.heap.length - 1);
    return timer;
  }

  /**
   * Schedules a periodic action.
   *
   * @param intervalMs - interval between runs, in milliseconds
   * @param action - the action
   */
  every(intervalMs: number, action: () => void): void {
    this.after(intervalMs, () => {
      action();
      this.every(intervalMs, action);
    });
  }

  /**
   * Runs all timers that are due up to a given time and advances the clock to it.
   *
   * @param endMs - end time, in milliseconds
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
    let index = start;
    while (index > 0) {
      const parentIndex = Math.floor((index - 1) / 2);
      const parent = this.heap[parentIndex] as TimerHandle;
      if (!isBefore(timer, parent)) break;
      this.heap[index] = parent;
      index = parentIndex;
    }
    this.heap[index] = timer;
  }

  private siftDown(): void {
    const timer = this.heap[0] as TimerHandle;
    const { length } = this.heap;
    let index = 0;
    for (let child = 1; child < length; child = 2 * index + 1) {
      const right = this.heap[child + 1];
      if (right !== undefined && isBefore(right, this.heap[child] as TimerHandle)) child += 1;
      const smaller = this.heap[child] as TimerHandle;
      if (!isBefore(smaller, timer)) break;
      this.heap[index] = smaller;
      index = child;
    }
    this.heap[index] = timer;
  }
}
