import type ControlCall from './ControlCall';

/** Version of the messages from which on leaders understand the basis of a change. */
const BASIS_PROTOCOL_VERSION = 3;

/**
 * Leaves out what a leader of an older build would refuse.
 *
 * @param call - the call
 * @param protocolVersion - version of the messages that the leader understands
 * @returns the call as the leader understands it
 */
export default function adaptCall(call: ControlCall, protocolVersion: number): ControlCall {
  if (call.kind !== 'change' || protocolVersion >= BASIS_PROTOCOL_VERSION) return call;
  return { kind: 'change', change: call.change };
}
