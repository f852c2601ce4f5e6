import type RouteMatch from '../routing/RouteMatch';

/** One attempt of a request that asks for a target. */
interface Admission {
  readonly match: RouteMatch;
  /** Moment on the monotonic clock after which the answer is worth nothing, in milliseconds. */
  readonly deadlineMs: number;
  readonly isIdempotent: boolean;
  /** Retries and hedges are granted within their budgets only. */
  readonly purpose: 'first' | 'retry' | 'hedge';
  /** Targets that this request has been sent to already. */
  readonly triedTargetIds: readonly string[];
}

export default Admission;
