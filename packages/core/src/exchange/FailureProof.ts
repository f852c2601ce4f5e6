import type RequestOutcome from '../errors/RequestOutcome';
import type AttemptResult from '../scheduling/AttemptResult';

/** What a failure at one step proves. */
interface FailureProof {
  /** Whether the request ran, as far as this attempt can tell. */
  readonly outcome: RequestOutcome;
  /** What the failure says about the target. */
  readonly evidence: AttemptResult['evidence'];
}

export default FailureProof;
