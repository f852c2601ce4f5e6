import type Candidate from '../routing/Candidate';

/** Policy that chooses a target for each request. */
interface TargetChooser {
  /**
   * Chooses one of the candidates.
   *
   * @param candidates - the targets that may serve the request
   * @returns the chosen candidate, or undefined if there is none
   */
  choose: (candidates: readonly Candidate[]) => Candidate | undefined;
}

export default TargetChooser;
