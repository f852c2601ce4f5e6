/** An entry that has not taken a request lately. */
interface AvoidedPeer {
  /** Until when it is avoided, in milliseconds. */
  readonly untilMs: number;
  /** Whether it cannot take requests, rather than being slow or busy. */
  readonly isFirm: boolean;
  /** Why it has not taken the request. */
  readonly reason: string;
}

export default AvoidedPeer;
