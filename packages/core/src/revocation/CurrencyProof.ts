/**
 * Share of the bound for which a proof is good. The rest covers clocks that run at different rates,
 * and the time between the check of a request and the moment at which its bytes leave.
 */
const VALID_SHARE = 0.9;

/**
 * Proof that an entry holds the declaration in force. The entry asks control, and counts the age of
 * the answer from the moment at which it asked: whatever was acknowledged before is included. So
 * neither a message that lay in a buffer while a process was suspended nor a slow link makes an
 * old state look recent, and only one clock is read.
 */
export default class CurrencyProof {
  private readonly validMs: number;

  /** When the questions without an answer were asked, by their number. */
  private readonly pending = new Map<number, number>();

  private lastNumber = 0;

  private provenAtMs = -Infinity;

  /** @param boundMs - time after which a revoked key must not work anywhere, in milliseconds */
  constructor(boundMs: number) {
    this.validMs = boundMs * VALID_SHARE;
  }

  /**
   * Records that control is about to be asked. It must be called before the question is sent.
   *
   * @param nowMs - monotonic clock that counts the time for which the VM was suspended
   * @returns number of the question
   */
  ask(nowMs: number): number {
    this.lastNumber += 1;
    this.pending.forEach((askedAtMs, number) => {
      if (!this.isRecent(askedAtMs, nowMs)) this.pending.delete(number);
    });
    this.pending.set(this.lastNumber, nowMs);
    return this.lastNumber;
  }

  /**
   * Records the answer of control: the entry holds what was acknowledged before it asked.
   *
   * @param number - number of the question
   */
  confirm(number: number): void {
    const askedAtMs = this.pending.get(number);
    if (askedAtMs === undefined) return;
    this.pending.delete(number);
    this.provenAtMs = Math.max(this.provenAtMs, askedAtMs);
  }

  /** Forgets the questions: the VM that was asked is not followed any more. */
  forgetQuestions(): void {
    this.pending.clear();
  }

  /**
   * Returns whether the declaration is recent enough to decide about keys.
   *
   * @param nowMs - the same clock
   */
  isProven(nowMs: number): boolean {
    return this.isRecent(this.provenAtMs, nowMs);
  }

  private isRecent(askedAtMs: number, nowMs: number): boolean {
    return nowMs - askedAtMs <= this.validMs;
  }
}
