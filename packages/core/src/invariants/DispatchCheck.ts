import type AttemptResult from '../scheduling/AttemptResult';
import type CheckedDispatch from './CheckedDispatch';

/** Checks invariants when an attempt is dispatched. Breaches are counted, but not prevented. */
interface DispatchCheck {
  /**
   * Checks an attempt. Must be called right before the attempt is sent.
   *
   * @param dispatch - the attempt to check
   * @returns a function that must be called once with the evidence when the attempt has ended
   */
  begin: (dispatch: CheckedDispatch) => (evidence: AttemptResult['evidence']) => void;
}

export default DispatchCheck;
