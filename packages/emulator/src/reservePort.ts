import { once } from 'node:events';
import { createServer } from 'node:net';

/** Below the ephemeral range, so that no outgoing connection can take the port before its use. */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;
/** Loopback address at which a port is held; no VM and no target listens there. */
const HOLD_ADDRESS = '127.255.255.1';

/** Listens on an address; returns undefined if the port is taken there. */
async function tryListen(
  port: number,
  address: string,
): Promise<ReturnType<typeof createServer> | undefined> {
  const server = createServer();
  server.listen(port, address);
  try {
    await once(server, 'listening');
  } catch {
    return undefined;
  }
  return server;
}

/**
 * Picks random ports until one is free, and holds it until this process ends: other processes that
 * reserve ports get other ones. It is held at an address of its own, so that the VMs of a test may
 * listen on it.
 *
 * @param random - picks the ports, from 0 to 1
 * @returns a port that is free on the loopback address
 */
export default async function reservePort(random: () => number = Math.random): Promise<number> {
  const port = FIRST_PORT + Math.floor(random() * PORT_COUNT);
  const held = await tryListen(port, HOLD_ADDRESS);
  if (held === undefined) return reservePort(random);
  held.unref();
  const probe = await tryListen(port, '127.0.0.1');
  if (probe === undefined) {
    held.close();
    return reservePort(random);
  }
  probe.close();
  await once(probe, 'close');
  return port;
}
