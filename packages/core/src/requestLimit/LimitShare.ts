/** Share of a target's request limit that each holder of the limit has. */
interface LimitShare {
  /** Number of entries that may send to the target. */
  readonly holders: number;
  /** Requests per second that one holder may send. */
  readonly requestsPerSecond: number;
  /** Most requests that one holder may send at once. */
  readonly burst: number;
}

export default LimitShare;
