/** Whether a request ran on a target, as far as is known. */
type RequestOutcome = 'not-run' | 'unknown' | 'ran';

export default RequestOutcome;
