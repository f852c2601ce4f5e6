/** Time after its last crash or response at which a request is forgotten, in milliseconds. */
const RETENTION_MS = 300_000;

export default RETENTION_MS;
