import findProtocolVersion from '../session/findProtocolVersion';
import type VmSession from '../session/VmSession';
import CURRENCY_VERSION from './currencyVersion';

/**
 * Returns whether the VM of a session checks the keys of tenants and answers whether it is current.
 *
 * @param session - the session
 * @returns false for a VM of an older build, and for one that is not known yet
 */
export default function understandsTenants({ peer }: VmSession): boolean {
  return peer !== undefined && findProtocolVersion(peer) >= CURRENCY_VERSION;
}
