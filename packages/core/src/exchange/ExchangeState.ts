import type Failure from '../errors/Failure';
import type ExchangeStep from './ExchangeStep';

/** One caller's request from its arrival to its answer. */
interface ExchangeState {
  step: ExchangeStep;
  readonly isIdempotent: boolean;
  /** Retries that are still allowed. */
  retriesLeft: number;
  /** Attempts handed to a target so far. */
  attempts: number;
  /** The failure of an attempt that may have run; the request is `unknown` ever after. */
  uncertainFailure: Failure | undefined;
  /** Whether the caller has received a part of the answer. */
  isForwarding: boolean;
  /** Whether the target marked its answer as not run. */
  isMarkedNotRun: boolean;
  /** Bytes of the answer that are held back. */
  heldBytes: number;
}

export default ExchangeState;
