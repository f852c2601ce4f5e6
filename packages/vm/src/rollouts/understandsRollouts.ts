import findProtocolVersion from '../session/findProtocolVersion';
import type VmSession from '../session/VmSession';
import ROLLOUT_VERSION from './rolloutVersion';

/**
 * Returns whether the VM of a session knows of roll-outs and of the versions of targets.
 *
 * @param session - the session
 * @returns false for a VM of an older build, and for one that is not known yet
 */
export default function understandsRollouts({ peer }: VmSession): boolean {
  return peer !== undefined && findProtocolVersion(peer) >= ROLLOUT_VERSION;
}
