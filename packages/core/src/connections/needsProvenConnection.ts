import areConnectionsRefused from './areConnectionsRefused';
import type ConnectionEvidence from './ConnectionEvidence';

/**
 * Returns whether a target may be sent requests only on connections that have carried a response.
 * A request that is lost with a new connection may have run; a probe may be lost.
 *
 * @param state - the evidence
 * @param address - address of the target
 * @param nowMs - monotonic clock
 * @returns true if the last new connection to the target failed, or those to all targets do
 */
export default function needsProvenConnection(
  state: ConnectionEvidence,
  address: string,
  nowMs: number,
): boolean {
  return state.refusing.has(address) || areConnectionsRefused(state, nowMs);
}
