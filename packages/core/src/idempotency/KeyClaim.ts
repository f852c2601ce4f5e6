import type RouteMatch from '../routing/RouteMatch';

/** One arrival of a request with an idempotency key that asks whether it may run. */
interface KeyClaim {
  readonly key: string;
  readonly fingerprint: string;
  /** New for each arrival. */
  readonly claimId: string;
  readonly match: RouteMatch;
  /** Moment on the monotonic clock after which the run has ended, in milliseconds. */
  readonly deadlineMs: number;
}

export default KeyClaim;
