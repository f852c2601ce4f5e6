import type TargetAnnouncement from '../types/TargetAnnouncement';

/** A target that may serve a request, and how far away it is. */
interface Candidate {
  readonly target: TargetAnnouncement;
  readonly distance: 'data-centre' | 'region' | 'remote';
}

export default Candidate;
