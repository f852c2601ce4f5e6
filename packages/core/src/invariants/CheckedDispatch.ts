import type RequestRecord from '../objectives/RequestRecord';
import type RouteMatch from '../routing/RouteMatch';
import type KnownTarget from '../types/KnownTarget';

/** One attempt at the moment it is handed to the connection. */
interface CheckedDispatch {
  /** The request that the attempt belongs to; the same object for each of its attempts. */
  readonly record: RequestRecord;
  readonly match: RouteMatch;
  readonly target: KnownTarget;
  /** Whether the request may run more than once. */
  readonly isIdempotent: boolean;
  /** The caller's idempotency key, if there is one: its run stays the same over resends. */
  readonly idempotencyKey: string | undefined;
}

export default CheckedDispatch;
