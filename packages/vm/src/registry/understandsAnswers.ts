import findProtocolVersion from '../session/findProtocolVersion';
import type VmSession from '../session/VmSession';
import ANSWERED_VERSION from './answeredVersion';

/**
 * Returns whether the VM of a session understands `targetCrashed` and `requestAnswered`.
 *
 * @param session - the session
 * @returns false for a VM of an older build, and for one that is not known yet
 */
export default function understandsAnswers({ peer }: VmSession): boolean {
  return peer !== undefined && findProtocolVersion(peer) >= ANSWERED_VERSION;
}
