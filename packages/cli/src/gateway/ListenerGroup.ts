import { createServer, type AddressInfo, type Server } from 'node:net';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

import type Logger from 'bunyan';
import { Err, Ok, type Result } from 'ts-results';

import tryListen from '../run/tryListen';

/** Time after the first attempt in which an address is tried often, in milliseconds. */
const OFTEN_MS = 5000;
const OFTEN_INTERVAL_MS = 100;
const RETRY_INTERVAL_MS = 1000;
/** Longest time for which an address may not be set up yet, in milliseconds. */
const SETUP_LIMIT_MS = 5000;
/** Shortest time between log lines about one listener, in milliseconds. */
const LOG_INTERVAL_MS = 60_000;

/**
 * Binds the listeners of a VM, and goes on trying while other software has their addresses: a
 * process that ended would meet the same at its next start, and what else the VM does is of use.
 */
export default class ListenerGroup {
  private isClosed = false;

  private readonly waiting = new Set<Server>();

  /**
   * @param log - the log of the VM
   * @param onBound - called whenever a listener is bound
   */
  constructor(private readonly log: Logger, private readonly onBound: () => void) {}

  /** Number of listeners whose address is in use by other software. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /**
   * Binds a listener. If other software has the address, the start goes on without the listener,
   * which is bound once the address is free.
   *
   * @param server - the server
   * @param address - IP number and port
   * @param name - name of the listener, for log lines and errors
   * @returns an error message if the address cannot be that of a listener of this VM
   */
  async bind(server: Server, address: string, name: string): Promise<Result<undefined, string>> {
    const err = await this.tryUntilSetUp(server, address);
    if (err === undefined) this.reportBound(server, name);
    else if (err.code === 'EADDRINUSE') this.bindOptional(server, address, name);
    else return Err(ListenerGroup.describe(err, address, name));
    return Ok(undefined);
  }

  /**
   * Waits until no other process has an address.
   *
   * @param address - IP number and port
   * @param name - name of the listener, for log lines and errors
   * @returns an error message if the address cannot be that of a listener of this VM
   */
  async awaitFree(address: string, name: string): Promise<Result<undefined, string>> {
    const server = createServer((socket) => socket.destroy());
    const err = await this.tryUntilSetUp(server, address);
    if (err?.code === 'EADDRINUSE') await this.keepTrying(server, address, name);
    else if (err !== undefined) return Err(ListenerGroup.describe(err, address, name));
    server.close();
    return Ok(undefined);
  }

  /**
   * Binds a listener that the VM can do without: it is tried until it is bound or the group is
   * closed, whatever the error.
   *
   * @param server - the server
   * @param address - IP number and port
   * @param name - name of the listener, for log lines
   */
  bindOptional(server: Server, address: string, name: string): void {
    this.keepTrying(server, address, name).catch((err: Error) => {
      this.log.error({ err, listener: name, address }, 'listener has failed');
    });
  }

  /** Ends all attempts. Servers that listen stay open. */
  close(): void {
    this.isClosed = true;
  }

  private static describe(err: Error, address: string, name: string): string {
    return `${name}.listen: cannot listen on ${address}: ${err.message}`;
  }

  private async tryUntilSetUp(
    server: Server,
    address: string,
  ): Promise<NodeJS.ErrnoException | undefined> {
    const endsAtMs = performance.now() + SETUP_LIMIT_MS;
    let err = await tryListen(server, address);
    while (err?.code === 'EADDRNOTAVAIL' && !this.isClosed && performance.now() < endsAtMs) {
      // eslint-disable-next-line no-await-in-loop -- attempts are sequential
      await sleep(OFTEN_INTERVAL_MS);
      // eslint-disable-next-line no-await-in-loop
      err = await tryListen(server, address);
    }
    return err;
  }

  private async keepTrying(server: Server, address: string, name: string): Promise<void> {
    this.waiting.add(server);
    const startedAtMs = performance.now();
    let loggedAtMs = -Infinity;
    while (!this.isClosed) {
      // eslint-disable-next-line no-await-in-loop -- attempts are sequential
      const err = await tryListen(server, address);
      if (err === undefined) {
        this.reportBound(server, name);
        return;
      }
      const nowMs = performance.now();
      if (nowMs >= loggedAtMs + LOG_INTERVAL_MS) {
        loggedAtMs = nowMs;
        this.log.warn({ listener: name, address, reason: err.message }, 'cannot listen yet');
      }
      // eslint-disable-next-line no-await-in-loop
      await sleep(nowMs - startedAtMs < OFTEN_MS ? OFTEN_INTERVAL_MS : RETRY_INTERVAL_MS);
    }
  }

  private reportBound(server: Server, name: string): void {
    this.waiting.delete(server);
    if (this.isClosed) {
      server.close();
      return;
    }
    this.onBound();
    const { address, port } = server.address() as AddressInfo;
    this.log.info({ listener: name, address: `${address}:${port}` }, 'listening');
  }
}
