import type Candidate from '../routing/Candidate';
import type Clock from '../types/Clock';
import type Random from '../types/Random';
import type Admission from './Admission';
import type SchedulerListener from './SchedulerListener';

/** Dependencies of the scheduler. */
interface SchedulerContext {
  /** Name of this entry. */
  readonly entryName: string;
  readonly clock: Clock;
  readonly random: Random;
  /** Finds the targets that may serve an attempt under the configuration in force. */
  readonly findCandidates: (admission: Admission) => readonly Candidate[];
  readonly listener: SchedulerListener;
}

export default SchedulerContext;
