import type TokenBucket from '../limits/TokenBucket';

/** The limit on requests that a target has named, as one entry knows it. */
interface RequestLimit {
  /** Requests per second that the target takes from all entries together. */
  readonly requestsPerSecond: number;
  /** Requests that this entry may send; undefined while it holds no share. */
  allowance: TokenBucket | undefined;
  /** When the target, or another entry, last stated this limit, in milliseconds. */
  statedAtMs: number;
  /** When this entry last told the others of it, or they told this entry, in milliseconds. */
  sharedAtMs: number;
  /** Whether responses to probes state it too, so that one without it withdraws it. */
  isInProbes: boolean;
}

export default RequestLimit;
