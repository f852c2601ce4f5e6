import type { Result } from 'ts-results';

import type Failure from '../errors/Failure';
import type Admission from './Admission';
import type Assignment from './Assignment';
import type ScheduledAttempt from './ScheduledAttempt';

/** Decides which target runs an attempt, and when. */
interface Scheduler {
  /**
   * Requests a target for an attempt.
   *
   * @param admission - the attempt
   * @param onDecision - called exactly once unless the attempt is cancelled, either synchronously
   *   or after queueing; it must send the attempt or finish the assignment before it returns
   * @returns a handle to cancel the attempt
   */
  schedule: (
    admission: Admission,
    onDecision: (decision: Result<Assignment, Failure>) => void,
  ) => ScheduledAttempt;
}

export default Scheduler;
