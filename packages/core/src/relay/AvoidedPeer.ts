/** An entry that has not taken a request lately. */
interface AvoidedPeer {
  /** When it refused or left a question unanswered, in milliseconds. */
  readonly sinceMs: number;
  /** Until when it is avoided, in milliseconds. */
  readonly untilMs: number;
  /** Whether it cannot take requests, rather than being slow or busy. */
  readonly isFirm: boolean;
  /** Why it has not taken the request. */
  readonly reason: string;
}

export default AvoidedPeer;
