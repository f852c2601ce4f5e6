import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';

import respondToBadRequest from './respondToBadRequest';
import type CallerLimits from './CallerLimits';
import defaultLimits from './defaultLimits';
import type CallerHandler from './CallerHandler';

/** A response that is not complete yet. */
interface ActiveResponse {
  readonly res: ServerResponse;
  /** Whether the caller lets its connection stay open after the response. */
  readonly mayKeepAlive: boolean;
}

/** Asks a caller to close its connection after the last of its pipelined requests. */
function closeAfterLast(responses: readonly ActiveResponse[]): void {
  responses.forEach(({ res, mayKeepAlive }, index) => {
    const state = res;
    if (!state.headersSent) state.shouldKeepAlive = index < responses.length - 1 && mayKeepAlive;
  });
}

/**
 * Event loop turns per round. A round without a new connection shows that none is pending: Node
 * accepts one connection per turn and reads its data in the next turn.
 */
const TURNS_PER_ROUND = 3;
/** Maximum number of rounds: Node's default length of the listen backlog. */
const MAX_ACCEPT_ROUNDS = 511;

interface ListenerOptions {
  readonly limits?: CallerLimits;
  readonly onError?: (err: Error) => void;
}

/** Accepts callers' connections. It owns its server socket. */
export default class CallerListener {
  readonly server: Server;

  /** Responses of each connection, in the order in which they are sent. */
  private readonly active = new Map<Socket, ActiveResponse[]>();

  private isDraining = false;

  private readonly drainWaiters: (() => void)[] = [];

  private accepted = 0;

  private readonly unreadMs: number;

  /**
   * @param handler - handles the requests
   * @param options - limits on the resources that callers may use, and what receives exceptions of
   *   the handler; a request whose handler throws is aborted
   */
  constructor(
    handler: CallerHandler,
    { limits = defaultLimits, onError = () => undefined }: ListenerOptions = {},
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
      try {
        handler.handle(req, res);
      } catch (err) {
        // Whether the request has run is unknown, so no status would be true.
        res.destroy();
        onError(err as Error);
      }
    });
    this.server.maxConnections = limits.connections;
    this.server.on('connection', () => {
      this.accepted += 1;
    });
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => {
      respondToBadRequest(err, socket, this.active.has(socket));
    });
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
    this.server.close();
    this.server.closeIdleConnections();
    if (this.active.size > 0) {
      await new Promise<void>((resolve) => {
        this.drainWaiters.push(resolve);
      });
    }
    // The remaining connections have not sent a complete request.
    this.server.closeAllConnections();
  }

  /** Accepts connections and reads requests that are still pending, as on a busy VM. */
  private async acceptPending(): Promise<void> {
    for (let round = 0; round < MAX_ACCEPT_ROUNDS; round += 1) {
      const before = this.accepted;
      for (let turn = 0; turn < TURNS_PER_ROUND; turn += 1) {
        // eslint-disable-next-line no-await-in-loop -- each turn reads what the last one accepted
        await nextTurn();
      }
      if (this.accepted === before) return;
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
      const timer = setTimeout(() => socket.destroy(), this.unreadMs);
      socket.once('close', () => clearTimeout(timer));
      return false;
    }
    const response = { res, mayKeepAlive: res.shouldKeepAlive };
    responses.push(response);
    this.active.set(socket, responses);
    if (this.isDraining) closeAfterLast(responses);
    let unreadTimer: NodeJS.Timeout | undefined;
    // The last bytes have been passed to the socket, which may keep them for a silent caller.
    res.once('prefinish', () => {
      unreadTimer = setTimeout(() => socket.destroy(), this.unreadMs);
    });
    res.once('close', () => {
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

  private release(socket: Socket, response: ActiveResponse): void {
    const responses = this.active.get(socket) ?? [];
    const index = responses.indexOf(response);
    if (index < 0) return;
    responses.splice(index, 1);
    if (responses.length === 0) this.active.delete(socket);
    if (this.active.size === 0) this.drainWaiters.splice(0).forEach((resolve) => resolve());
  }
}
