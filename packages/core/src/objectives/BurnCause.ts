import type ErrorKind from '../errors/ErrorKind';

/**
 * Why a request counts against an objective: an error kind, a 5xx response of the target
 * (`targetStatus`) or a response above the latency threshold (`slow`).
 */
type BurnCause = ErrorKind | 'targetStatus' | 'slow';

export default BurnCause;
