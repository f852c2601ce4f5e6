/**
 * What is wrong with a fake target. `fail-fast`: it answers errors at once. `lying-report`: it
 * tells that it has nothing in flight. `lagging-report`: it tells what it had some time ago.
 */
type TargetFault = 'fail-fast' | 'lying-report' | 'lagging-report';

export default TargetFault;
