import type BoundCheck from './BoundCheck';
import type RunResult from './RunResult';

/** Results of the runs with faults. */
interface FaultResults {
  readonly results: readonly RunResult[];
  readonly checks: readonly BoundCheck[];
}

export default FaultResults;
