import type Failure from '../errors/Failure';
import type ExchangeStep from './ExchangeStep';

/** State of a caller's request from its arrival to the end of its response. */
interface ExchangeState {
  step: ExchangeStep;
  readonly isIdempotent: boolean;
  /** Number of remaining retries. */
  retriesLeft: number;
  /** Number of attempts assigned to a target so far. */
  attempts: number;
  /**
   * First failure of an attempt that may have run. Once set, the outcome of the request can no
   * longer be `not-run`.
   */
  uncertainFailure: Failure | undefined;
  /** Whether forwarding of the response to the caller has started. */
  isForwarding: boolean;
  /** Whether the target marked its response as not run. */
  isMarkedNotRun: boolean;
  /** Number of buffered bytes of the response. */
  bufferedBytes: number;
}

export default ExchangeState;
