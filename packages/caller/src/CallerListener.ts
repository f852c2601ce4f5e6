import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';

import type ResourceAccount from '@guavayard/core/limits/ResourceAccount';

import avoidResets from './avoidResets';
import closeGracefully from './closeGracefully';
import closeIdle from './closeIdle';
import ConnectionGuard from './ConnectionGuard';
import cutResponse from './cutResponse';
import respondToBadRequest from './respondToBadRequest';
import type CallerLimits from './CallerLimits';
import defaultLimits from './defaultLimits';
import destroyAfter from './destroyAfter';
import endsWithConnection from './endsWithConnection';
import type CallerHandler from './CallerHandler';

/** A response that is not complete yet. */
interface ActiveResponse {
  readonly res: ServerResponse;
  /** Whether the caller lets its connection stay open after the response. */
  readonly mayKeepAlive: boolean;
  /** Whether it has been told of its end. */
  isClosed: boolean;
}

/**
 * Asks a caller to close its connection after the last of its pipelined requests. A response that
 * waits for an earlier one does not ask: further requests may arrive before it is sent.
 */
function closeAfterLast(responses: readonly ActiveResponse[]): void {
  responses.forEach(({ res, mayKeepAlive }) => {
    const state = res;
    if (!state.headersSent) state.shouldKeepAlive = responses.length > 1 && mayKeepAlive;
  });
}

/**
 * Event loop turns per round. A round without a new connection shows that none is pending: Node
 * accepts one connection per turn and reads its data in the next turn.
 */
const TURNS_PER_ROUND = 3;
/** Maximum number of rounds: Node's default length of the listen backlog. */
const MAX_ACCEPT_ROUNDS = 511;
/** Time after which pending connections are not accepted any more, in milliseconds. */
const ACCEPT_TIMEOUT_MS = 200;
/** Minimum number of rounds with new connections: the process may not have run in that time. */
const MIN_ACCEPT_ROUNDS = 8;
/**
 * Time for callers to close their connections at a stop, in milliseconds: longer than a round trip
 * between distant regions.
 */
const STOP_CLOSE_TIMEOUT_MS = 500;

/** Requests in progress on one connection above which no more are read from it. */
const REQUESTS_PER_CONNECTION = 16;
/** Status of a request that was refused before it was read. */
const REFUSED_STATUS = 503;

interface ListenerOptions {
  readonly limits?: CallerLimits;
  /** Account of the process; without one, only the limits hold. */
  readonly account?: ResourceAccount;
  readonly onError?: (err: Error) => void;
}

/** Accepts callers' connections. It owns its server socket. */
export default class CallerListener {
  readonly server: Server;

  /** Responses of each connection, in the order in which they are sent. */
  private readonly active = new Map<Socket, ActiveResponse[]>();

  /** Open connections, with the number of bytes read when the last response was complete. */
  private readonly connections = new Map<Socket, number>();

  private isDraining = false;

  private isStopping = false;

  private readonly drainWaiters: (() => void)[] = [];

  private accepted = 0;

  private readonly unreadMs: number;

  private readonly guard: ConnectionGuard | undefined;

  /**
   * @param handler - handles the requests
   * @param options - limits on the resources that callers may use, and what receives exceptions of
   *   the handler; a request whose handler throws is aborted
   */
  constructor(
    handler: CallerHandler,
    { limits = defaultLimits, account, onError = () => undefined }: ListenerOptions = {},
  ) {
    this.unreadMs = limits.unreadMs;
    // A single handler serves every path, so no router is needed.
    this.server = createServer({
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headersTimeoutMs,
      connectionsCheckingInterval: limits.checkIntervalMs,
      requestTimeout: 0,
      noDelay: true,
    }, (req, res) => {
      if (!this.track(req, res)) return;
      const admission = this.guard?.admit(req, res) ?? 'admitted';
      if (admission === 'dropped') return;
      if (admission === 'refused') {
        if (handler.refuse === undefined) res.writeHead(REFUSED_STATUS, { connection: 'close' }).end();
        else handler.refuse(req, res);
        return;
      }
      const handle = (): void => {
        try {
          handler.handle(req, res);
        } catch (err) {
          // Whether the request has run is unknown, so no status would be true.
          cutResponse(res);
          onError(err as Error);
        }
      };
      if (!this.isDraining) {
        handle();
        return;
      }
      // A response may announce the end of the connection only once all requests are known that
      // arrived together.
      queueMicrotask(() => {
        if (!res.destroyed) handle();
      });
    });
    this.server.maxConnections = limits.connections;
    if (account !== undefined) {
      // The guard makes room for new connections; the server's own limit would close them.
      this.server.maxConnections = limits.connections + 1;
      this.guard = new ConnectionGuard(this.server, {
        account,
        clock: () => performance.now(),
        connections: limits.connections,
        requestsPerConnection: REQUESTS_PER_CONNECTION,
      });
    }
    this.server.on('connection', (socket: Socket) => {
      this.accepted += 1;
      this.connections.set(socket, 0);
      socket.once('close', () => {
        this.connections.delete(socket);
        this.closeQueued(socket);
      });
      // The server ends its side, too, in a listener of its own.
      socket.prependListener('end', () => this.cutPartial(socket, false));
    });
    avoidResets(this.server);
    // Called by the server when it closes, too.
    this.server.closeIdleConnections = () => this.closeIdleConnections();
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => {
      this.cutPartial(socket, true);
      respondToBadRequest(err, socket, this.active.has(socket));
    });
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /** Continues to serve requests, but asks callers to close connections after the response. */
  startDraining(): void {
    this.isDraining = true;
    this.active.forEach(closeAfterLast);
  }

  /** Stops listening, and resolves once every accepted request has been answered. */
  async stop(): Promise<void> {
    this.startDraining();
    await this.acceptPending();
    this.isStopping = true;
    this.server.close();
    while (this.active.size > 0) {
      // eslint-disable-next-line no-await-in-loop -- further requests may have arrived meanwhile
      await new Promise<void>((resolve) => {
        this.drainWaiters.push(resolve);
      });
      // eslint-disable-next-line no-await-in-loop
      await this.acceptPending();
    }
    // The remaining connections have not sent a complete request.
    await this.closeConnections();
    this.server.closeAllConnections();
  }

  /** Resets connections whose regular end, as that of the process, would complete a response. */
  cutAllPartial(): void {
    [...this.active.keys()].forEach((socket) => this.cutPartial(socket, true));
  }

  /**
   * Tells the responses that waited behind another one of the end of their connection. The server
   * tells only the one that was being sent; the requests of a caller that has gone would be run.
   */
  private closeQueued(socket: Socket): void {
    [...this.active.get(socket) ?? []].filter(({ isClosed }) => !isClosed).forEach(({ res }) => {
      res.destroy();
      res.emit('close');
    });
  }

  /** Breaks off a response that the end of its connection would complete. */
  private cutPartial(socket: Socket, areQueuedBytesLost: boolean): void {
    this.active.get(socket)?.forEach(({ res }) => {
      if (endsWithConnection(res) && (areQueuedBytesLost || !res.writableEnded)) cutResponse(res);
    });
  }

  /** Closes connections on which no part of a request has arrived since the last response. */
  private closeIdleConnections(): void {
    this.connections.forEach((readBytes, socket) => {
      if (!this.active.has(socket) && socket.bytesRead === readBytes) closeIdle(socket);
    });
  }

  /** Closes all connections, and resolves once the callers have closed them or the time is over. */
  private async closeConnections(): Promise<void> {
    const sockets = [...this.connections.keys()];
    const closed = Promise.all(sockets.map(async (socket) => new Promise((resolve) => {
      socket.once('close', resolve);
    })));
    sockets.forEach(closeIdle);
    await Promise.race([closed, sleep(STOP_CLOSE_TIMEOUT_MS)]);
  }

  /**
   * Accepts connections and reads requests that are still pending, as on a busy VM. Callers that
   * connect again after each response would have it go on for as long as they do.
   */
  private async acceptPending(): Promise<void> {
    const endsAtMs = performance.now() + ACCEPT_TIMEOUT_MS;
    for (let round = 0; round < MAX_ACCEPT_ROUNDS; round += 1) {
      const before = this.accepted;
      for (let turn = 0; turn < TURNS_PER_ROUND; turn += 1) {
        // eslint-disable-next-line no-await-in-loop -- each turn reads what the last one accepted
        await nextTurn();
      }
      const isOverdue = round >= MIN_ACCEPT_ROUNDS && performance.now() > endsAtMs;
      if (this.accepted === before || isOverdue) return;
    }
  }

  /**
   * Tracks a request until its response is complete and its body has been read.
   *
   * @returns false if the connection closes before this request can be answered
   */
  private track(req: IncomingMessage, res: ServerResponse): boolean {
    const { socket } = req;
    const responses = this.active.get(socket) ?? [];
    const isClosing = responses.some((earlier) => (
      earlier.res.headersSent && !earlier.res.shouldKeepAlive
    ));
    if (isClosing) return false;
    if (socket.writableEnded) {
      destroyAfter(socket, this.unreadMs);
      return false;
    }
    const response: ActiveResponse = {
      res, mayKeepAlive: res.shouldKeepAlive, isClosed: false,
    };
    responses.push(response);
    this.active.set(socket, responses);
    if (this.isDraining) closeAfterLast(responses);
    let unreadTimer: NodeJS.Timeout | undefined;
    // The last bytes have been passed to the socket, which may keep them for a silent caller.
    res.once('prefinish', () => {
      unreadTimer = setTimeout(() => cutResponse(res), this.unreadMs);
    });
    res.once('close', () => {
      response.isClosed = true;
      clearTimeout(unreadTimer);
      const release = (): void => this.release(socket, response);
      if (req.complete || req.destroyed) {
        release();
        return;
      }
      // Closing the connection before the rest of the body is read would reset it.
      req.once('end', release);
      req.once('close', release);
    });
    return true;
  }

  /** Records that a request has been answered and read. */
  private release(socket: Socket, response: ActiveResponse): void {
    const responses = this.active.get(socket) ?? [];
    const index = responses.indexOf(response);
    if (index < 0) return;
    responses.splice(index, 1);
    if (responses.length === 0) this.releaseConnection(socket);
    else if (this.isDraining) closeAfterLast(responses);
    if (this.active.size === 0) this.drainWaiters.splice(0).forEach((resolve) => resolve());
  }

  /** Records that all requests of a connection have been answered and read. */
  private releaseConnection(socket: Socket): void {
    this.active.delete(socket);
    if (!this.connections.has(socket)) return;
    this.connections.set(socket, socket.bytesRead);
    if (this.isStopping) closeGracefully(socket);
  }
}
