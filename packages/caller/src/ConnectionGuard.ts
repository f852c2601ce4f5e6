import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type ResourceAccount from '@guavayard/core/limits/ResourceAccount';
import type Clock from '@guavayard/core/types/Clock';

import GuardedConnection from './GuardedConnection';

interface GuardOptions {
  readonly account: ResourceAccount;
  readonly clock: Clock;
  /** Maximum number of connections. */
  readonly connections: number;
  /** Requests in progress of one connection above which no more are read from it. */
  readonly requestsPerConnection: number;
}

/**
 * Counts what the clients of an HTTP server hold in the account of the process: connections, heads,
 * bodies that arrive, and responses. Refuses requests and connections before their bytes are taken
 * in.
 */
export default class ConnectionGuard {
  private readonly connections = new Map<Socket, GuardedConnection>();

  /**
   * @param server - the server, before it accepts connections
   * @param options - the account and the limits of the server
   */
  constructor(private readonly server: Server, private readonly options: GuardOptions) {
    server.on('connection', (socket: Socket) => this.accept(socket));
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /**
   * Admits a request whose head has arrived.
   *
   * @param req - the request
   * @param res - its response
   * @returns `admitted`, `refused` if the response must be a refusal that closes the connection, or
   *   `dropped` if it stands behind such a response and must not be run
   */
  admit(req: IncomingMessage, res: ServerResponse): 'admitted' | 'refused' | 'dropped' {
    return this.connections.get(req.socket)?.admit(req, res) ?? 'dropped';
  }

  /**
   * Reserves bytes of a response until it is closed.
   *
   * @param res - the response
   * @param bytes - number of bytes
   * @returns false if they do not fit
   */
  holdResponse(res: ServerResponse, bytes: number): boolean {
    const { account } = this.options;
    if (!account.tryReserve('responses', bytes)) return false;
    res.once('close', () => account.release('responses', bytes));
    if (res.destroyed) res.emit('close');
    return true;
  }

  private accept(socket: Socket): void {
    const { account, connections, requestsPerConnection } = this.options;
    if (this.connections.size >= connections && !account.evictOne()) {
      socket.destroy();
      return;
    }
    const connection = GuardedConnection.create(socket, this.options, requestsPerConnection);
    if (connection === undefined) {
      socket.destroy();
      return;
    }
    this.connections.set(socket, connection);
    connection.onEnd = () => this.connections.delete(socket);
  }
}
