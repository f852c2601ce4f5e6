/**
 * Version of the messages between VMs that this build understands. Builds from before versions were
 * told have version 1. Each version includes the messages of those before it:
 *
 * - 2: `leave` and `left`
 */
const protocolVersion = 2;

export default protocolVersion;
