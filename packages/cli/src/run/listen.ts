import type { AddressInfo, Server } from 'node:net';

import type Logger from 'bunyan';
import { Err, Ok, type Result } from 'ts-results';

import splitHostPort from '@guavayard/core/utils/splitHostPort';

/**
 * Binds a server to its address and logs where it listens.
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
  const { host, port } = splitHostPort(address);
  return new Promise((resolve) => {
    server.once('error', (err: NodeJS.ErrnoException) => {
      const reason = err.code === 'EADDRINUSE' ? 'the address is in use by another process' : err.message;
      resolve(Err(`${name}.listen: cannot listen on ${address}: ${reason}`));
    });
    server.listen(port, host, () => {
      const bound = server.address() as AddressInfo;
      const boundAddress = `${address.slice(0, address.lastIndexOf(':'))}:${bound.port}`;
      log.info({ listener: name, address: boundAddress }, 'listening');
      resolve(Ok(boundAddress));
    });
  });
}
