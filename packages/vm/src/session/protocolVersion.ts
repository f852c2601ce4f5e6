/**
 * Version of the messages between VMs that this build understands. Builds from before versions were
 * told have version 1. Each version includes the messages of those before it:
 *
 * - 2: `leave` and `left`
 * - 3: `basis` of changes, and the failure `overtaken` in response
 * - 4: `targetCrashed` and `requestAnswered`
 * - 5: questions about currency and read points, the sources of declarations with tenants, usage of
 *   quotas, roll-outs, and versions of targets
 */
const protocolVersion = 5;

export default protocolVersion;
