import type WaitingAdmission from './WaitingAdmission';

/** Bounded queue of the waiting attempts of one service, ordered by deadline, earliest first. */
export default class AdmissionQueue {
  private readonly waiting: WaitingAdmission[] = [];

  /**
   * @param limit - maximum number of waiting attempts
   */
  constructor(private readonly limit: number) {}

  /** @returns the number of waiting attempts */
  get length(): number {
    return this.waiting.length;
  }

  /** @returns whether the queue is at its limit */
  get isFull(): boolean {
    return this.waiting.length >= this.limit;
  }

  /**
   * Inserts an attempt after those with the same or an earlier deadline.
   *
   * @param entry - the attempt
   */
  add(entry: WaitingAdmission): void {
    let at = this.waiting.length;
    const { deadlineMs } = entry.admission;
    while (at > 0 && (this.waiting[at - 1]?.admission.deadlineMs ?? 0) > deadlineMs) at -= 1;
    this.waiting.splice(at, 0, entry);
  }

  /**
   * @param index - position in the order of deadlines
   * @returns the attempt at that position
   */
  at(index: number): WaitingAdmission | undefined {
    return this.waiting[index];
  }

  /**
   * Removes an attempt. Does nothing if it is not in the queue.
   *
   * @param entry - the attempt
   */
  remove(entry: WaitingAdmission): void {
    const index = this.waiting.indexOf(entry);
    if (index >= 0) this.waiting.splice(index, 1);
  }

  /**
   * Removes the attempts that can no longer be answered in time.
   *
   * @param earliestFeasibleMs - deadlines before this moment cannot be met
   * @returns the removed attempts
   */
  removeInfeasible(earliestFeasibleMs: number): WaitingAdmission[] {
    let count = 0;
    while ((this.waiting[count]?.admission.deadlineMs ?? Infinity) < earliestFeasibleMs) count += 1;
    return count === 0 ? [] : this.waiting.splice(0, count);
  }
}
