import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';

/** Longest body that is kept to be sent again, in bytes. */
const MAX_RECORDED_BYTES = 64 * 1024;
/** Longest rest of a body that is read and dropped after the answer, in bytes. */
const MAX_DISCARDED_BYTES = 1024 * 1024;
/** Longest time in which the rest of a body is read and dropped, in milliseconds. */
const DISCARD_TIMEOUT_MS = 5000;

/**
 * The body of a caller's request, from which each attempt takes a stream of its own.
 *
 * The HTTP client destroys the stream that it is given when sending fails. Destroying the
 * caller's request would close the caller's connection before it is answered.
 */
export default class ReplayableBody {
  private recorded: Buffer[] = [];

  private recordedBytes = 0;

  private isRecording: boolean;

  private readonly hasBody: boolean;

  private current: Readable | undefined;

  private onPrefix: ((prefix: readonly Buffer[]) => void) | undefined;

  /**
   * @param req - the caller's request
   * @param mayRecord - false where nothing of the request may be kept
   */
  constructor(private readonly req: IncomingMessage, mayRecord: boolean) {
    this.isRecording = mayRecord;
    this.hasBody = req.headers['transfer-encoding'] !== undefined
      || Number(req.headers['content-length'] ?? 0) > 0;
    if (!this.hasBody) return;
    req.on('data', this.onData);
    req.once('end', this.onEnd);
    req.pause();
  }

  /** Whether the whole body can be sent once more. */
  get isReplayable(): boolean {
    return !this.hasBody || this.isRecorded || this.recordedBytes === 0;
  }

  /**
   * Reads the body up to its end or to what is kept of it, before any attempt.
   *
   * @param onRead - called once with what was read
   */
  readPrefix(onRead: (prefix: readonly Buffer[]) => void): void {
    if (!this.hasBody) {
      onRead([]);
      return;
    }
    this.onPrefix = onRead;
    this.req.resume();
  }

  /**
   * Opens the body for one attempt; the stream of an earlier attempt gets nothing more.
   *
   * @returns the stream, or null for a request without a body
   */
  open(): Readable | null {
    if (!this.hasBody) return null;
    this.current?.destroy();
    const stream = new Readable({ read: () => this.req.resume() });
    this.current = stream;
    this.recorded.forEach((chunk) => stream.push(chunk));
    if (!this.isRecorded) this.forget();
    if (this.req.readableEnded) stream.push(null);
    return stream;
  }

  /** Closes the stream of the current attempt. */
  close(): void {
    this.req.pause();
    this.current?.destroy();
    this.current = undefined;
  }

  /**
   * Reads and drops the rest of the body, so that the connection can carry the next request.
   * A caller that sends too much or too slowly loses its connection.
   */
  discard(): void {
    this.close();
    this.forget();
    const { req } = this;
    if (req.complete || req.destroyed) return;
    let discardedBytes = 0;
    const timer = setTimeout(() => req.destroy(), DISCARD_TIMEOUT_MS);
    req.once('close', () => clearTimeout(timer));
    req.once('end', () => clearTimeout(timer));
    req.on('data', (chunk: Buffer) => {
      discardedBytes += chunk.length;
      if (discardedBytes > MAX_DISCARDED_BYTES) req.destroy();
    });
    req.resume();
  }

  private get isRecorded(): boolean {
    return this.isRecording && this.recordedBytes <= MAX_RECORDED_BYTES;
  }

  private readonly onData = (chunk: Buffer): void => {
    this.recordedBytes += chunk.length;
    if (this.isRecording) this.recorded.push(chunk);
    if (this.current !== undefined && !this.isRecorded) this.forget();
    if (this.current?.push(chunk) === false) this.req.pause();
    if (this.recordedBytes > MAX_RECORDED_BYTES) this.endPrefix();
  };

  private readonly onEnd = (): void => {
    this.current?.push(null);
    this.endPrefix();
  };

  private endPrefix(): void {
    const { onPrefix } = this;
    if (onPrefix === undefined) return;
    this.onPrefix = undefined;
    this.req.pause();
    onPrefix(this.recorded);
  }

  private forget(): void {
    this.recorded = [];
    this.isRecording = false;
  }
}
