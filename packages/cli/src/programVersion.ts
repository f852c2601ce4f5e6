/** Version of this program. */
const programVersion = '0.1.0';

export default programVersion;
