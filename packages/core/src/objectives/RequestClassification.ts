import type BurnCause from './BurnCause';

/** Classification of a request with regard to the objectives of its service. */
type RequestClassification = | { readonly kind: 'ignored' }
  | { readonly kind: 'good' }
  | { readonly kind: 'slow'; readonly cause: 'slow' }
  | { readonly kind: 'unavailable'; readonly cause: BurnCause };

export default RequestClassification;
