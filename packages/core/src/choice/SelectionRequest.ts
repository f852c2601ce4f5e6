import type Candidate from '../routing/Candidate';
import type ServiceState from '../scheduling/ServiceState';

/** The attempt for which a target is selected, and its candidates. */
interface SelectionRequest {
  readonly candidates: readonly Candidate[];
  readonly triedTargetIds: readonly string[];
  readonly service: ServiceState;
  /** How long the attempt has waited, in milliseconds. */
  readonly waitedMs: number;
  /** A hedge goes only to a target with a free slot that is neither remote nor slow. */
  readonly isHedge: boolean;
  readonly nowMs: number;
}

export default SelectionRequest;
