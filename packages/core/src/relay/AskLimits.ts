/** How long an entry is asked whether it takes a request, in milliseconds. */
interface AskLimits {
  /** Limit for an entry of the same region. */
  readonly nearAskMs: number;
  /** Limit for an entry of another region. */
  readonly farAskMs: number;
  /** Time in addition if there is no session with the entry yet. */
  readonly connectMs: number;
}

export default AskLimits;
