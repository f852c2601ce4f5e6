import type Candidate from '../routing/Candidate';
import type TargetState from '../scheduling/TargetState';

/** A selected target that can take an attempt now, with its state. */
interface Selection {
  readonly candidate: Candidate;
  readonly state: TargetState;
}

export default Selection;
