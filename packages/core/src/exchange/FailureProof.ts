import type RequestOutcome from '../errors/RequestOutcome';
import type AttemptResult from '../scheduling/AttemptResult';

/** What a failure at a given step of an attempt proves. */
interface FailureProof {
  /** Whether the request ran, judging by this attempt alone. */
  readonly outcome: RequestOutcome;
  /** Evidence about the target for the scheduler. */
  readonly evidence: AttemptResult['evidence'];
}

export default FailureProof;
