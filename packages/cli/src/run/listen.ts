import type { AddressInfo, Server } from 'node:net';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

import type Logger from 'bunyan';
import { Err, Ok, type Result } from 'ts-results';

import tryListen from './tryListen';

/** Longest time for which an address may be taken, in milliseconds. */
const RETRY_LIMIT_MS = 5000;
const RETRY_INTERVAL_MS = 100;
/** Errors that may pass: the address is still taken, or not set up yet. */
const PASSING_ERRORS = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

/**
 * Binds a server to its address and logs where it listens. An address that is taken is tried again
 * for some seconds, as the process before this one or an outgoing connection may still have it.
 *
 * @param server - the server
 * @param address - IP number and port; port 0 lets the system choose
 * @param name - name of the listener, for log lines and errors
 * @param log - the log of the VM
 * @returns the bound address, or the reason why it cannot be bound
 */
export default async function listen(
  server: Server,
  address: string,
  name: string,
  log: Logger,
): Promise<Result<string, string>> {
  const endsAtMs = performance.now() + RETRY_LIMIT_MS;
  let err = await tryListen(server, address);
  if (err !== undefined) log.warn({ listener: name, address, reason: err.message }, 'cannot listen yet');
  while (PASSING_ERRORS.has(err?.code ?? '') && performance.now() < endsAtMs) {
    // eslint-disable-next-line no-await-in-loop -- attempts are sequential
    await sleep(RETRY_INTERVAL_MS);
    // eslint-disable-next-line no-await-in-loop
    err = await tryListen(server, address);
  }
  if (err !== undefined) {
    const reason = err.code === 'EADDRINUSE' ? 'the address is in use by another process' : err.message;
    return Err(`${name}.listen: cannot listen on ${address}: ${reason}`);
  }
  const bound = server.address() as AddressInfo;
  const boundAddress = `${address.slice(0, address.lastIndexOf(':'))}:${bound.port}`;
  log.info({ listener: name, address: boundAddress }, 'listening');
  return Ok(boundAddress);
}
