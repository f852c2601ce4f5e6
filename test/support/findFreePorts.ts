import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';

/**
 * Finds ports of the loopback interface on which no process listens now.
 *
 * @param count - number of ports
 * @returns distinct ports
 */
export default async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, '127.0.0.1'));
  await Promise.all(servers.map(async (server) => once(server, 'listening')));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map(async (server) => {
    server.close();
    await once(server, 'close');
  }));
  return ports;
}
