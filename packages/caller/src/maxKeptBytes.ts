/** Remainder of a body after which the connection is not kept for another request, in bytes. */
const MAX_KEPT_BYTES = 1024 * 1024;

export default MAX_KEPT_BYTES;
