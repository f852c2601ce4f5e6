import type { buildConnector } from 'undici';
// Importing only this module: loading all of undici more than doubles its startup cost.
import createConnector from 'undici/lib/core/connect';

import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type TargetRequest from '@guavayard/core/dispatch/TargetRequest';
import type TargetSender from '@guavayard/core/dispatch/TargetSender';
import type SendAddress from '@guavayard/core/types/SendAddress';

import TargetConnection from './TargetConnection';
import TargetConnections from './TargetConnections';

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_TIMEOUT_MS = 60_000;

interface SenderOptions {
  /** Keep-alive timeout if the response of the target does not specify one, in milliseconds. */
  readonly keepAliveTimeoutMs: number;
  /** Address from which connections are opened; undefined if the system chooses. */
  readonly localAddress?: string | undefined;
  /**
   * Called with whether a new connection to an address has carried a response, or could not be
   * opened or ended without one.
   */
  readonly onOpened?: (address: string, isWorking: boolean) => void;
}

const connect = createConnector({ timeout: CONNECT_TIMEOUT_MS });

/** Replaces the code of a reset, which undici takes for the end of a response without a length. */
function replaceResetCode(err: NodeJS.ErrnoException): void {
  if (err.code === 'ECONNRESET') Object.assign(err, { code: 'ECONNABORTED' });
}

const connectToTarget: buildConnector.connector = (options, callback) => {
  connect(options, (...result: Parameters<buildConnector.Callback>) => {
    const [, socket] = result;
    socket?.prependListener('error', replaceResetCode);
    callback(...result);
  });
};

/** Sends requests over keep-alive connections. */
export default class UndiciTargetSender implements TargetSender {
  /** Connections by the address of their target. */
  private readonly connections = new Map<string, TargetConnections>();

  constructor(
    private readonly options: SenderOptions = { keepAliveTimeoutMs: KEEP_ALIVE_TIMEOUT_MS },
  ) {}

  send(target: SendAddress, req: TargetRequest, handler: AnswerHandler): Dispatch {
    return this.connectionsTo(target.address).send(req, handler, target.connectionLimit);
  }

  countReady(address: string): number {
    return this.connections.get(address)?.readyCount ?? 0;
  }

  mayOpen(address: string): boolean {
    return this.connections.get(address)?.mayOpen ?? false;
  }

  /**
   * Closes the connections to an address once their requests have finished.
   *
   * @param address - host and port of the target
   */
  closeConnections(address: string): void {
    const known = this.connections.get(address);
    this.connections.delete(address);
    // Each failed request notifies its own handler, so the error of a connection can be ignored.
    known?.close().catch(() => undefined);
  }

  /** Closes all connections once their requests have finished. */
  async close(): Promise<void> {
    await Promise.all([...this.connections.values()].map(async (known) => known.close()));
  }

  private connectionsTo(address: string): TargetConnections {
    const existing = this.connections.get(address);
    if (existing !== undefined) return existing;
    const { localAddress, keepAliveTimeoutMs, onOpened } = this.options;
    const connections: TargetConnections = new TargetConnections((proof) => new TargetConnection({
      address,
      connect: connectToTarget,
      localAddress,
      keepAliveTimeoutMs,
      proof,
      onOpened: (isWorking) => {
        // Another target may have the address by the time the last connections to this one end.
        if (this.connections.get(address) === connections) onOpened?.(address, isWorking);
      },
    }), () => performance.now());
    this.connections.set(address, connections);
    return connections;
  }
}
