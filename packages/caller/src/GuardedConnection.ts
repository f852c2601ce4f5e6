import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type ResourceAccount from '@guavayard/core/limits/ResourceAccount';
import type ResourceHolder from '@guavayard/core/limits/ResourceHolder';
import type Clock from '@guavayard/core/types/Clock';

import closeIdle from './closeIdle';
import cutResponse from './cutResponse';
import estimateHeldBytes from './estimateHeldBytes';
import ignoreRequests from './ignoreRequests';
import pauseParser from './pauseParser';
import resumeParser from './resumeParser';
import SlicedReader from './SlicedReader';

/** Socket, parser and stream objects of a connection, with the buffers of the system. */
const CONNECTION_BYTES = 16 * 1024;

/** The chunk of which a connection that is read in slices keeps the rest. */
const SLICED_BYTES = 64 * 1024;
/**
 * Requests in progress above which a connection is closed: as many arrive only in one chunk of the
 * shortest requests, before the connection is read in slices.
 */
const MAX_BURST = 128;

interface ConnectionContext {
  readonly account: ResourceAccount;
  readonly clock: Clock;
}

interface HeldRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly requests: number;
  readonly bodies: number;
}

/** What one connection of a client holds. */
export default class GuardedConnection implements ResourceHolder {
  /** Called once the connection has ended. */
  onEnd: () => void = () => undefined;

  private readonly requests = new Set<HeldRequest>();

  private isClosing = false;

  private isSwitching = false;

  /** Bytes of the connection itself. */
  private ownBytes = CONNECTION_BYTES;

  private hasEnded = false;

  private progress = 0;

  private progressAtMs: number;

  /** Reads a connection with pipelined requests; created once there are any. */
  private reader: SlicedReader | undefined;

  private constructor(
    private readonly socket: Socket,
    private readonly context: ConnectionContext,
    private readonly maxRequests: number,
  ) {
    this.progressAtMs = context.clock();
    context.account.addHolder(this);
    socket.once('close', () => this.end());
  }

  /**
   * @param socket - a connection that was accepted
   * @param context - account of the process, and its clock
   * @param maxRequests - requests in progress above which no more are read
   * @returns what holds its resources, undefined if the account has no room for it
   */
  static create(
    socket: Socket,
    context: ConnectionContext,
    maxRequests: number,
  ): GuardedConnection | undefined {
    if (!context.account.tryReserve('connections', CONNECTION_BYTES)) return undefined;
    return new GuardedConnection(socket, context, maxRequests);
  }

  get heldBytes(): number {
    return [...this.requests]
      .reduce((sum, { requests, bodies }) => sum + requests + bodies, this.ownBytes);
  }

  idleMs(nowMs: number): number | undefined {
    const { bytesRead, bytesWritten, writableLength } = this.socket;
    const progress = bytesRead + bytesWritten - writableLength;
    if (progress !== this.progress) {
      this.progress = progress;
      this.progressAtMs = nowMs;
    }
    return this.awaitsClient ? nowMs - this.progressAtMs : undefined;
  }

  evict(): void {
    ignoreRequests(this.socket);
    this.requests.forEach(({ res }) => cutResponse(res));
    this.socket.destroy();
    this.end();
  }

  /** Admits a request, see `ConnectionGuard.admit`. */
  admit(req: IncomingMessage, res: ServerResponse): 'admitted' | 'refused' | 'dropped' {
    if (this.isClosing || this.hasEnded) return 'dropped';
    if (this.requests.size >= MAX_BURST) {
      this.evict();
      return 'dropped';
    }
    this.reader?.startRequest(req);
    if (this.requests.size > 0) this.readInSlices();
    const { account } = this.context;
    const { requests, bodies } = estimateHeldBytes(req);
    if (!account.tryReserve('requests', requests + bodies)) {
      this.refuse();
      return 'refused';
    }
    account.release('requests', bodies);
    if (!account.tryReserve('bodies', bodies) || this.hasEnded) {
      account.release('requests', requests);
      this.refuse();
      return 'refused';
    }
    this.hold({
      req, res, requests, bodies,
    });
    return 'admitted';
  }

  /** Whether the next byte is due from the client, or the client has to read a response. */
  private get awaitsClient(): boolean {
    const [first] = this.requests;
    if (first === undefined) return true;
    return !first.req.complete || first.res.writableEnded || this.socket.writableNeedDrain;
  }

  /** Reads nothing more: the response that follows closes the connection. */
  private refuse(): void {
    const { socket } = this;
    this.isClosing = true;
    // The rest of the body stays unread, and the client has a moment to read the refusal.
    Object.assign(socket, { destroySoon: () => closeIdle(socket) });
    ignoreRequests(socket);
    pauseParser(socket);
    process.nextTick(() => {
      this.reader ??= new SlicedReader(socket);
      this.reader.stop();
    });
  }

  /** Has the parser stop between two requests, from the end of the present chunk on. */
  private readInSlices(): void {
    if (this.reader !== undefined || this.isSwitching) return;
    this.isSwitching = true;
    process.nextTick(() => {
      if (this.isClosing || this.hasEnded) return;
      if (!this.context.account.tryReserve('connections', SLICED_BYTES)) {
        this.evict();
        return;
      }
      this.ownBytes += SLICED_BYTES;
      this.reader = new SlicedReader(this.socket);
      this.reader.pause();
      if (this.requests.size < this.maxRequests) this.reader.resume();
    });
  }

  private hold(request: HeldRequest): void {
    const { req, res } = request;
    this.requests.add(request);
    if (this.requests.size >= this.maxRequests) {
      if (this.reader === undefined) pauseParser(this.socket);
      else this.reader.pause();
    }
    const release = (): void => {
      if (this.requests.delete(request)) this.release(request);
    };
    res.once('close', () => {
      if (req.complete || req.destroyed) release();
      else {
        req.once('end', release);
        req.once('close', release);
      }
    });
  }

  private release({ requests, bodies }: HeldRequest): void {
    const { account } = this.context;
    account.release('requests', requests);
    account.release('bodies', bodies);
    if (!this.isClosing && !this.hasEnded && this.requests.size < this.maxRequests) {
      if (this.reader === undefined) resumeParser(this.socket);
      else this.reader.resume();
    }
  }

  private end(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    const { account } = this.context;
    account.removeHolder(this);
    account.release('connections', this.ownBytes);
    this.requests.forEach((request) => this.release(request));
    this.requests.clear();
    this.onEnd();
  }
}
