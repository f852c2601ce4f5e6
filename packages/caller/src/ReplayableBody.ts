import { Readable } from 'node:stream';

import type InboundRequest from '@guavayard/core/dispatch/InboundRequest';
import type ByteBudget from '@guavayard/core/limits/ByteBudget';
import ChunkList from '@guavayard/core/utils/ChunkList';

import MAX_KEPT_BYTES from './maxKeptBytes';

/** Maximum size of a body that is buffered for retries, in bytes. */
const MAX_RECORDED_BYTES = 64 * 1024;
/** Chunks below this size are joined, as each of its own costs a hundred bytes and more. */
const SMALL_BYTES = 1024;
/** Maximum size of what is read of a body while it waits for a target, in bytes. */
const MAX_AHEAD_BYTES = 1024 * 1024;
/** Maximum remainder of a body that is read and discarded after the response, in bytes. */
const MAX_DISCARDED_BYTES = 32 * 1024 * 1024;
/** Maximum time to read and discard the remainder of a body, in milliseconds. */
const DISCARD_TIMEOUT_MS = 5000;

/** Reads a body on while it waits for a target. */
interface ReadAhead {
  readonly budget: ByteBudget;
  readonly onStalled: () => void;
}

/**
 * The body of a caller's request, from which each attempt reads through its own stream.
 *
 * The HTTP client destroys its stream when sending fails. If that stream were the caller's request,
 * the caller's connection would be closed before it is answered.
 */
export default class ReplayableBody {
  private recorded = new ChunkList();

  private receivedBytes = 0;

  /** Received bytes without the small chunks that are still to be joined. */
  private handledBytes = 0;

  /** Small chunks that have arrived in the present turn. */
  private small: ChunkList | undefined;

  /** Whether reading stops once all has been handled that arrived together. */
  private isPausing = false;

  private isRecording: boolean;

  /** Whether the request has a body. */
  readonly hasBody: boolean;

  private current: Readable | undefined;

  private ahead: ReadAhead | undefined;

  /** Bytes of the budget that are reserved for what was read ahead. */
  private heldBytes = 0;

  /** Budget from which they are reserved. */
  private holdBudget: ByteBudget | undefined;

  private maxBytes = Infinity;

  private onExceeded: (() => void) | undefined;

  private onPrefix: ((prefix: readonly Buffer[]) => void) | undefined;

  /**
   * @param req - the caller's request
   * @param mayRecord - false if the body must not be buffered
   */
  constructor(private readonly req: Pick<InboundRequest, 'headers' | 'complete' | 'socket'> & Readable, mayRecord: boolean) {
    this.isRecording = mayRecord;
    this.hasBody = req.headers['transfer-encoding'] !== undefined
      || Number(req.headers['content-length'] ?? 0) > 0;
    if (!this.hasBody) return;
    req.on('data', this.onData);
    req.once('end', this.onEnd);
    req.pause();
  }

  /** Whether the complete body can be sent again. */
  get isReplayable(): boolean {
    return !this.hasBody || this.isRecording || this.receivedBytes === 0;
  }

  /** Whether the whole body has been read and kept, so that two attempts can send it at once. */
  get isComplete(): boolean {
    return !this.hasBody || (this.isRecorded && this.req.readableEnded);
  }

  /**
   * Reads the body up to its end or to the buffer limit, before any attempt.
   *
   * @param onRead - called once with the chunks read so far
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
   * Limits the body, whose length may not be known before its end.
   *
   * @param maxBytes - maximum size, in bytes
   * @param onExceeded - called once if the body turns out to be larger; nothing of the chunk that
   *   exceeds the limit reaches a target
   */
  limit(maxBytes: number, onExceeded: () => void): void {
    this.maxBytes = maxBytes;
    this.onExceeded = onExceeded;
  }

  /**
   * Reads the body without keeping it, as no target will get it.
   *
   * @param onRead - called once it has ended within the limit
   */
  readToEnd(onRead: () => void): void {
    this.close();
    this.stopRecording();
    this.req.once('end', onRead);
    this.req.resume();
  }

  /**
   * Reads the body on until an attempt opens it: the close of a caller comes behind what it sent.
   *
   * @param budget - bounds what all waiting bodies hold beyond what is kept for retries
   * @param onStalled - called once no more can be read
   */
  readAhead(budget: ByteBudget, onStalled: () => void): void {
    if (!this.hasBody || !this.isRecording || this.req.readableEnded) return;
    this.ahead = { budget, onStalled };
    this.isPausing = false;
    this.req.resume();
  }

  /**
   * Opens the body for one attempt. The stream of an earlier attempt is destroyed.
   *
   * @returns the stream, or null for a request without a body
   */
  open(): Readable | null {
    if (!this.hasBody) return null;
    this.current?.destroy();
    const stream = new Readable({
      read: () => {
        this.releaseHeld();
        this.isPausing = false;
        this.req.resume();
      },
    });
    stream.once('end', () => this.releaseHeld());
    this.current = stream;
    this.recorded.list().forEach((chunk) => stream.push(chunk));
    if (!this.isRecorded) this.stopRecording();
    if (this.req.readableEnded) stream.push(null);
    return stream;
  }

  /**
   * Opens a complete body for a second attempt, beside the stream of the current one.
   *
   * @returns the stream, or null for a request without a body
   */
  openCopy(): Readable | null {
    if (!this.hasBody) return null;
    const stream = new Readable({ read: () => undefined });
    this.recorded.list().forEach((chunk) => stream.push(chunk));
    stream.push(null);
    return stream;
  }

  /** Closes the stream of the current attempt. */
  close(): void {
    this.req.pause();
    this.releaseHeld();
    this.current?.destroy();
    this.current = undefined;
  }

  /**
   * Reads and discards the remainder of the body, so that the connection can carry the next
   * request. The connection of a caller that sends much more is closed for writing first and read
   * on for a time: closing it with unread bytes would reset it, and the response could be lost.
   */
  discard(): void {
    this.close();
    this.stopRecording();
    const { req } = this;
    if (req.complete || req.destroyed) return;
    let discardedBytes = 0;
    const timer = setTimeout(() => req.destroy(), DISCARD_TIMEOUT_MS);
    req.once('close', () => clearTimeout(timer));
    req.once('end', () => clearTimeout(timer));
    req.on('data', (chunk: Buffer) => {
      const before = discardedBytes;
      discardedBytes += chunk.length;
      if (before <= MAX_KEPT_BYTES && discardedBytes > MAX_KEPT_BYTES) req.socket.end?.();
      if (discardedBytes > MAX_DISCARDED_BYTES) req.destroy();
    });
    req.resume();
  }

  private get isRecorded(): boolean {
    return this.isRecording && this.receivedBytes <= MAX_RECORDED_BYTES;
  }

  private readonly onData = (chunk: Buffer): void => {
    this.receivedBytes += chunk.length;
    const { onExceeded } = this;
    if (this.receivedBytes > this.maxBytes && onExceeded !== undefined) {
      this.onExceeded = undefined;
      onExceeded();
      return;
    }
    if (chunk.length >= SMALL_BYTES) {
      this.flushSmall();
      this.handleChunk(chunk);
      return;
    }
    if (this.small === undefined) {
      this.small = new ChunkList();
      process.nextTick(() => this.flushSmall());
    }
    this.small.push(chunk);
  };

  /** Handles the small chunks that have arrived together. */
  private flushSmall(): void {
    const chunks = this.small?.take() ?? [];
    this.small = undefined;
    chunks.forEach((chunk) => this.handleChunk(chunk));
  }

  private handleChunk(chunk: Buffer): void {
    this.handledBytes += chunk.length;
    if (this.isRecording) {
      this.recorded.push(chunk);
      if (this.current === undefined) this.hold();
    }
    if (this.current !== undefined && !this.isRecorded) this.stopRecording();
    if (this.current?.push(chunk) === false) this.pauseSoon();
    if (this.handledBytes > MAX_RECORDED_BYTES) this.endPrefix();
  }

  private readonly onEnd = (): void => {
    this.flushSmall();
    this.current?.push(null);
    this.endPrefix();
  };

  private endPrefix(): void {
    const { onPrefix } = this;
    if (onPrefix === undefined) return;
    this.onPrefix = undefined;
    this.req.pause();
    onPrefix(this.recorded.list());
  }

  /** Reserves what was read ahead, and reads no further if that is not possible. */
  private hold(): void {
    const { ahead, receivedBytes } = this;
    const bytes = receivedBytes - MAX_RECORDED_BYTES - this.heldBytes;
    if (ahead === undefined || bytes <= 0) return;
    if (receivedBytes <= MAX_AHEAD_BYTES && ahead.budget.tryReserve(bytes)) {
      this.heldBytes += bytes;
      this.holdBudget = ahead.budget;
      return;
    }
    this.pauseSoon();
    this.ahead = undefined;
    ahead.onStalled();
  }

  /**
   * Stops reading once the parser has handed over all that arrived together: chunks that follow a
   * pause at once would be kept one by one by the request.
   */
  private pauseSoon(): void {
    if (this.isPausing) return;
    this.isPausing = true;
    process.nextTick(() => {
      if (this.isPausing) this.req.pause();
      this.isPausing = false;
    });
  }

  private releaseHeld(): void {
    this.holdBudget?.release(this.heldBytes);
    this.heldBytes = 0;
  }

  private stopRecording(): void {
    this.recorded = new ChunkList();
    this.isRecording = false;
  }
}
