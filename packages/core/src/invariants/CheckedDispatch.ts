import type RequestRecord from '../objectives/RequestRecord';
import type RouteMatch from '../routing/RouteMatch';
import type KnownTarget from '../types/KnownTarget';

/** Attempt that is checked right before it is sent. */
interface CheckedDispatch {
  /** Record of the request; the same object for all of its attempts. */
  readonly record: RequestRecord;
  readonly match: RouteMatch;
  readonly target: KnownTarget;
  /** Whether the request may run more than once. */
  readonly isIdempotent: boolean;
  /** Idempotency key of the caller, if any: resends with the same key count as the same run. */
  readonly idempotencyKey: string | undefined;
}

export default CheckedDispatch;
