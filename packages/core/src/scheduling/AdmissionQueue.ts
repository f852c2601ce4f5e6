import type WaitingAdmission from './WaitingAdmission';

/** The waiting attempts of one service, bounded, the earliest deadline first. */
export default class AdmissionQueue {
  private readonly waiting: WaitingAdmission[] = [];

  /**
   * @param limit - most attempts that wait
   */
  constructor(private readonly limit: number) {}

  /** @returns how many attempts wait */
  get length(): number {
    return this.waiting.length;
  }

  /** @returns whether no further attempt may wait */
  get isFull(): boolean {
    return this.waiting.length >= this.limit;
  }

  /**
   * Puts an attempt behind those with the same or an earlier deadline.
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
   * Takes an attempt out. Does nothing if it does not wait.
   *
   * @param entry - the attempt
   */
  remove(entry: WaitingAdmission): void {
    const index = this.waiting.indexOf(entry);
    if (index >= 0) this.waiting.splice(index, 1);
  }

  /**
   * Takes out the attempts that can no longer be answered in time.
   *
   * @param latestDeadlineMs - deadlines before this moment cannot be met
   * @returns the attempts that were taken out
   */
  removeLate(latestDeadlineMs: number): WaitingAdmission[] {
    let count = 0;
    while ((this.waiting[count]?.admission.deadlineMs ?? Infinity) < latestDeadlineMs) count += 1;
    return count === 0 ? [] : this.waiting.splice(0, count);
  }
}
