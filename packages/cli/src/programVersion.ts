/** Version of this program, reported by `guavayard version` and in the status of each VM. */
const programVersion = '0.1.0';

export default programVersion;
