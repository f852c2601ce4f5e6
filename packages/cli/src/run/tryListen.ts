import type { Server } from 'node:net';

import splitHostPort from '@guavayard/core/utils/splitHostPort';

/**
 * Tries once to bind a server to its address.
 *
 * @param server - the server; it stays usable after a failure
 * @param address - IP number and port; port 0 lets the system choose
 * @returns the error, undefined if the server listens
 */
export default async function tryListen(
  server: Server,
  address: string,
): Promise<NodeJS.ErrnoException | undefined> {
  const { host, port } = splitHostPort(address);
  return new Promise((resolve) => {
    const onListening = (): void => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called later
      server.off('error', onError);
      resolve(undefined);
    };
    const onError = (err: NodeJS.ErrnoException): void => {
      server.off('listening', onListening);
      resolve(err);
    };
    server.once('error', onError);
    server.once('listening', onListening);
    server.listen(port, host);
  });
}
