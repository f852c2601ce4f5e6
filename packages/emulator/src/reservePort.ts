import { once } from 'node:events';
import { createServer } from 'node:net';

/** Below the ephemeral range, so that no outgoing connection can take the port before its use. */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  server.listen(port, '127.0.0.1');
  try {
    await once(server, 'listening');
  } catch {
    return false;
  }
  server.close();
  await once(server, 'close');
  return true;
}

/**
 * Picks random ports until one is free. The port is not held: it is only outside the range from
 * which the operating system assigns ports.
 *
 * @returns a port of the loopback address that has just been found free
 */
export default async function reservePort(): Promise<number> {
  const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
  return await isFree(port) ? port : reservePort();
}
