import type RouteMatch from '../routing/RouteMatch';

/** One attempt of a request that needs a target. */
interface Admission {
  readonly match: RouteMatch;
  /** Deadline of the response on the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
  readonly isIdempotent: boolean;
  /** Retries and hedges are admitted only within their budgets. */
  readonly purpose: 'first' | 'retry' | 'hedge';
  /** Targets that this request has been sent to already. */
  readonly triedTargetIds: readonly string[];
}

export default Admission;
