import type { Result } from 'ts-results';

import type Failure from '../errors/Failure';
import type KeyClaim from './KeyClaim';
import type KeyOutcome from './KeyOutcome';
import type StoredAnswer from './StoredAnswer';

/** Ensures that at most one of all requests with the same idempotency key runs. */
interface KeyKeeper {
  /**
   * Claims a key and requests a decision on whether the request may run.
   *
   * @param claim - the claim of the request
   * @param onDecision - called exactly once, after this call has returned: with `undefined` if the
   *   request may run, with the stored response of an earlier run, or with a failure
   * @returns a function that reports the outcome of the granted run
   */
  claim: (
    claim: KeyClaim,
    onDecision: (decision: Result<StoredAnswer | undefined, Failure>) => void,
  ) => (outcome: KeyOutcome) => void;
}

export default KeyKeeper;
