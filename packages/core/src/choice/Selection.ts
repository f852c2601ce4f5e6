import type Candidate from '../routing/Candidate';
import type TargetState from '../scheduling/TargetState';

/** A target that can take an attempt now. */
interface Selection {
  readonly candidate: Candidate;
  readonly state: TargetState;
}

export default Selection;
