import type { Result } from 'ts-results';

import type Failure from '../errors/Failure';
import type KeyClaim from './KeyClaim';
import type KeyOutcome from './KeyOutcome';
import type StoredAnswer from './StoredAnswer';

/** Makes sure that of all requests with one idempotency key at most one runs. */
interface KeyKeeper {
  /**
   * Asks whether a request may run.
   *
   * @param claim - the request
   * @param onDecision - called once, after this call has returned: with nothing if the request
   *   may run, with the answer of an earlier run, or with a failure
   * @returns a function that reports how the granted run ended
   */
  claim: (
    claim: KeyClaim,
    onDecision: (decision: Result<StoredAnswer | undefined, Failure>) => void,
  ) => (outcome: KeyOutcome) => void;
}

export default KeyKeeper;
