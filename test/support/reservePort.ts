import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';

/** @returns a port on the loopback address that the system has just found free */
export default async function reservePort(): Promise<number> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}
