import type KnownTarget from '../types/KnownTarget';

/** A target that may serve a request, and how far away it is. */
interface Candidate {
  readonly target: KnownTarget;
  readonly distance: 'data-centre' | 'region' | 'remote';
}

export default Candidate;
