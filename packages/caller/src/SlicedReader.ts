import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import type ParsedSocket from './ParsedSocket';

/** Slice that may hold heads of requests: some 25 of the shortest ones. */
const HEAD_BYTES = 1024;
/** Slice of a body in chunks, whose end is not known. */
const CHUNKED_BYTES = 4096;

const NOTHING = Buffer.alloc(0);

type DataListener = (chunk: Buffer) => void;

/**
 * Passes what a client sends to the HTTP parser in slices. The parser creates the objects of all
 * requests in what it is given, so reading can stop between two slices only.
 */
export default class SlicedReader {
  private rest: Buffer = NOTHING;

  private isPaused = false;

  private isStopped = false;

  private isFeeding = false;

  /** Bytes that certainly belong to the body of the last request. */
  private bodyBytes = 0;

  private isChunked = false;

  private last: IncomingMessage | undefined;

  private readonly deliver: DataListener;

  /**
   * @param socket - a connection to which the HTTP server has attached its parser
   */
  constructor(private readonly socket: Socket) {
    const [deliver] = socket.listeners('data') as DataListener[];
    this.deliver = deliver ?? (() => undefined);
    socket.removeListener('data', this.deliver);
    const resume = socket.resume.bind(socket);
    // The server resumes connections by itself, as after each response that it has sent.
    Object.assign(socket, {
      resume: () => {
        if (this.isPaused || this.isStopped) return socket;
        this.feed();
        if (this.isHeld) return socket;
        resume();
        this.startReading();
        return socket;
      },
    });
    // With a listener for data, the parser does not read from the system by itself.
    socket.on('data', (chunk: Buffer) => {
      if (this.isStopped) return;
      this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
      this.feed();
    });
  }

  /** Bytes that were read and not passed to the parser. */
  get waitingBytes(): number {
    return this.rest.length;
  }

  /**
   * Notes that the head of a request has been parsed.
   *
   * @param req - the request
   */
  startRequest(req: IncomingMessage): void {
    this.last = req;
    this.isChunked = req.headers['transfer-encoding'] !== undefined;
    this.bodyBytes = this.isChunked ? 0 : Number(req.headers['content-length'] ?? 0) || 0;
  }

  /** Reads no further requests until `resume` is called. */
  pause(): void {
    this.isPaused = true;
    this.holdSocket();
  }

  /** Reads on, once the client has read the responses that the server has sent. */
  resume(): void {
    if (!this.isPaused || this.isStopped) return;
    this.isPaused = false;
    if (!this.socket.writableNeedDrain) this.readOn();
    // The server itself reads on only if it had stopped reading.
    else this.socket.once('drain', () => !this.isPaused && !this.isStopped && this.readOn());
  }

  /** Drops what was read, and reads nothing more. */
  stop(): void {
    this.isStopped = true;
    this.rest = NOTHING;
    this.holdSocket();
  }

  private feed(): void {
    if (this.isFeeding) return;
    this.isFeeding = true;
    try {
      while (this.rest.length > 0 && !this.isHeld) {
        const slice = this.rest.subarray(0, this.sliceBytes);
        this.rest = this.rest.subarray(slice.length);
        // A view that is kept, as of a body that nobody reads, would keep the whole chunk.
        this.deliver.call(this.socket, slice.length > HEAD_BYTES ? slice : Buffer.from(slice));
        this.bodyBytes -= slice.length;
      }
    } finally {
      this.isFeeding = false;
    }
    // An empty view would keep the chunk that was read last.
    if (this.rest.length === 0) this.rest = NOTHING;
    if (this.isHeld) this.holdSocket();
  }

  private get sliceBytes(): number {
    if (this.last === undefined || this.last.complete) return HEAD_BYTES;
    return Math.max(this.isChunked ? CHUNKED_BYTES : HEAD_BYTES, this.bodyBytes);
  }

  /* eslint-disable no-underscore-dangle -- the server checks `_paused` before it reads on */
  /** Whether nothing may be parsed: by `pause` or `stop`, or the server waits for its client. */
  private get isHeld(): boolean {
    const parsed = this.socket as ParsedSocket;
    return this.isPaused || this.isStopped || parsed.destroyed || parsed._paused === true;
  }

  private holdSocket(): void {
    const parsed = this.socket as ParsedSocket;
    parsed._paused = true;
    this.socket.pause();
    // Otherwise the stream reads on until its buffer is full, for one more chunk of 64 KiB.
    if (parsed._handle?.reading !== true) return;
    parsed._handle.reading = false;
    parsed._handle.readStop();
  }

  /** Undoes `readStop`: the stream has a read outstanding, so it does not start one by itself. */
  private startReading(): void {
    const { _handle: handle } = this.socket as ParsedSocket;
    if (handle === undefined || handle === null || handle.reading) return;
    handle.reading = true;
    handle.readStart();
  }

  private readOn(): void {
    const parsed = this.socket as ParsedSocket;
    if (parsed.destroyed) return;
    parsed._paused = false;
    parsed.parser?.resume();
    this.socket.resume();
  }
  /* eslint-enable no-underscore-dangle */
}
