import removeVersion from '../rollouts/removeVersion';
import ROLLOUT_VERSION from '../rollouts/rolloutVersion';
import type ControlCall from './ControlCall';

/** Version of the messages from which on leaders understand the basis of a change. */
const BASIS_PROTOCOL_VERSION = 3;

/**
 * Leaves out what a leader of an older build would refuse.
 *
 * @param call - the call
 * @param protocolVersion - version of the messages that the leader understands
 * @returns the call as the leader understands it, undefined if it does not know such calls
 */
export default function adaptCall(
  call: ControlCall,
  protocolVersion: number,
): ControlCall | undefined {
  if (protocolVersion >= ROLLOUT_VERSION) return call;
  if (call.kind === 'startRollout' || call.kind === 'rollout') return undefined;
  if (call.kind !== 'change') return call;
  const { kind, change, basis } = call;
  const isKept = basis !== undefined && protocolVersion >= BASIS_PROTOCOL_VERSION;
  return { kind, change: removeVersion(change), ...(isKept ? { basis } : {}) };
}
