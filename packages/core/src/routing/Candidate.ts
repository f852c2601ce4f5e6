import type KnownTarget from '../types/KnownTarget';

/** A target that may serve a request, with its distance from the entry. */
interface Candidate {
  readonly target: KnownTarget;
  readonly distance: 'data-centre' | 'region' | 'remote';
}

export default Candidate;
