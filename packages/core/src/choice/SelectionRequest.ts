import type Candidate from '../routing/Candidate';
import type ServiceState from '../scheduling/ServiceState';

/** What a target is selected for. */
interface SelectionRequest {
  readonly candidates: readonly Candidate[];
  readonly triedTargetIds: readonly string[];
  readonly service: ServiceState;
  /** How long the attempt has waited, in milliseconds. */
  readonly waitedMs: number;
  /** A hedge goes only to a target that is seen free, near and quick. */
  readonly isHedge: boolean;
  readonly nowMs: number;
}

export default SelectionRequest;
