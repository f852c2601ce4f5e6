import type AttemptResult from '../scheduling/AttemptResult';
import type CheckedDispatch from './CheckedDispatch';

/** Checks the invariants at the point of dispatch. It counts breaches and stops nothing. */
interface DispatchCheck {
  /**
   * Checks an attempt. Called right before it is sent.
   *
   * @param dispatch - the attempt
   * @returns a function that is called once with how the attempt ended
   */
  begin: (dispatch: CheckedDispatch) => (evidence: AttemptResult['evidence']) => void;
}

export default DispatchCheck;
