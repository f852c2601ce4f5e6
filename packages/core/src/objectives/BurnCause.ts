import type ErrorKind from '../errors/ErrorKind';

/**
 * What made a request count against an objective: an error kind, a target's own 5xx answer, or an
 * answer past the latency threshold.
 */
type BurnCause = ErrorKind | 'targetStatus' | 'slow';

export default BurnCause;
