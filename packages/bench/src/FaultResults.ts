import type BoundCheck from './BoundCheck';
import type RunResult from './RunResult';

/** Results of the runs with faults and the bounds checked on them. */
interface FaultResults {
  readonly results: readonly RunResult[];
  readonly checks: readonly BoundCheck[];
}

export default FaultResults;
