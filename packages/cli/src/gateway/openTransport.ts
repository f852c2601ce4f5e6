import { Err, Ok, type Result } from 'ts-results';

import type TlsTransport from '@guavayard/vm/session/TlsTransport';

import type GatewaySettings from '../settings/GatewaySettings';

/**
 * Creates the transport of sessions.
 *
 * @param settings - settings of the VM
 * @returns the transport, undefined for plain TCP, or an error message
 */
export default async function openTransport(
  { vm }: GatewaySettings,
): Promise<Result<TlsTransport | undefined, string>> {
  if (vm.tls === undefined) return Ok(undefined);
  // Imported on demand, as loading `node:tls` would slow down every start.
  const { default: Transport } = await import('@guavayard/vm/session/TlsTransport');
  try {
    return Ok(new Transport(vm.tls));
  } catch (err) {
    return Err(`vm.tls: ${(err as Error).message}`);
  }
}
