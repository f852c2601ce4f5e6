import type RouteMatch from '../routing/RouteMatch';

/** Claim on an idempotency key by one arrival of a request that asks whether it may run. */
interface KeyClaim {
  readonly key: string;
  readonly fingerprint: string;
  /** Unique for each arrival, so that resends of a request differ. */
  readonly claimId: string;
  readonly match: RouteMatch;
  /** Time on the monotonic clock by which the run has ended, in milliseconds. */
  readonly deadlineMs: number;
}

export default KeyClaim;
