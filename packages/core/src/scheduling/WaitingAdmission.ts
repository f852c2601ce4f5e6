import type { Result } from 'ts-results';

import type Failure from '../errors/Failure';
import type Admission from './Admission';
import type Assignment from './Assignment';

/** An attempt that waits in the queue of the entry for a target. */
interface WaitingAdmission {
  readonly admission: Admission;
  readonly onDecision: (decision: Result<Assignment, Failure>) => void;
  readonly arrivedAtMs: number;
}

export default WaitingAdmission;
