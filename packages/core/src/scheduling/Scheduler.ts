import type { Result } from 'ts-results';

import type Failure from '../errors/Failure';
import type Admission from './Admission';
import type Assignment from './Assignment';
import type ScheduledAttempt from './ScheduledAttempt';

/** Decides which target takes an attempt and when. */
interface Scheduler {
  /**
   * Asks for a target.
   *
   * @param admission - the attempt
   * @param onDecision - called exactly once unless cancelled, at once or from the queue; the
   *   attempt must be sent, or the assignment finished, before it returns
   * @returns the attempt, to cancel it
   */
  schedule: (
    admission: Admission,
    onDecision: (decision: Result<Assignment, Failure>) => void,
  ) => ScheduledAttempt;
}

export default Scheduler;
