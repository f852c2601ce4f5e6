import type BurnCause from './BurnCause';

/** What one request means for the objectives of its service. */
type Judgement = | { readonly kind: 'ignored' }
  | { readonly kind: 'good' }
  | { readonly kind: 'slow'; readonly cause: 'slow' }
  | { readonly kind: 'unavailable'; readonly cause: BurnCause };

export default Judgement;
