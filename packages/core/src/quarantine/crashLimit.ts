/** Number of crashes after which a request is refused. */
const CRASH_LIMIT = 3;

export default CRASH_LIMIT;
