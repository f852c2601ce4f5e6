/** What is known about whether a request ran on a target. */
type RequestOutcome = 'not-run' | 'unknown' | 'ran';

export default RequestOutcome;
