/**
 * Fault of a fake target. `fail-fast`: responds with an error immediately. `lying-report`: always
 * reports zero requests in flight. `lagging-report`: reports an outdated number of requests.
 */
type TargetFault = 'fail-fast' | 'lying-report' | 'lagging-report';

export default TargetFault;
