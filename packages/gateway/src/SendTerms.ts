/** What a target is told about a request. */
interface SendTerms {
  /** Time after which nobody waits for the answer any more, in milliseconds. */
  readonly remainingMs: number;
  /** The target that the request is meant for; another one at its address refuses it. */
  readonly targetId: string;
}

export default SendTerms;
