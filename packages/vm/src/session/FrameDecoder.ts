import { inflateRawSync } from 'node:zlib';

import { Err, Ok, type Result } from 'ts-results';

import type ByteBudget from '@guavayard/core/limits/ByteBudget';

import frameLayout from './frameLayout';

const { headerBytes: HEADER_BYTES, compressedFlag: COMPRESSED_FLAG } = frameLayout;

function inflate(body: Buffer, maxBytes: number): Result<Buffer, string> {
  try {
    return Ok(inflateRawSync(body, { maxOutputLength: maxBytes }));
  } catch (err) {
    return Err(`frame cannot be decompressed: ${(err as Error).message}`);
  }
}

/** Splits a byte stream into length-prefixed frames, which it returns one at a time. */
export default class FrameDecoder {
  /** Bytes that have been joined; a frame starts at `start`. */
  private joined: Buffer = Buffer.alloc(0);

  private start = 0;

  /** Chunks that follow `joined`; they are joined only once they complete a frame. */
  private chunks: Buffer[] = [];

  private chunkBytes = 0;

  /** Bytes from `start` that complete the next frame, or its header while that is missing. */
  private neededBytes: number = HEADER_BYTES;

  private reservedBytes = 0;

  private mayBeCompressed = false;

  /**
   * @param maxFrameBytes - maximum size of a frame, before and after decompression
   * @param budget - bounds the bytes that are buffered by all decoders of the VM
   */
  constructor(private maxFrameBytes: number, private readonly budget: ByteBudget) {}

  /**
   * Sets the limits that apply after the handshake.
   *
   * @param maxFrameBytes - maximum size of the next frames, before and after decompression
   */
  acceptMessages(maxFrameBytes: number): void {
    this.maxFrameBytes = maxFrameBytes;
    this.mayBeCompressed = true;
  }

  /**
   * Adds the next bytes of the stream.
   *
   * @param chunk - bytes as received
   * @returns an error if the bytes exceed the budget
   */
  push(chunk: Buffer): Result<undefined, string> {
    if (!this.budget.tryReserve(chunk.length)) return Err('too many bytes of incomplete frames');
    this.reservedBytes += chunk.length;
    this.chunks.push(chunk);
    this.chunkBytes += chunk.length;
    return Ok(undefined);
  }

  /**
   * Extracts the next frame.
   *
   * @returns the frame, undefined if it is incomplete, or an error if it is too long or cannot be
   *   decompressed
   */
  next(): Result<Buffer | undefined, string> {
    if (this.pendingBytes < this.neededBytes) return Ok(undefined);
    this.join();
    const header = this.joined.readUInt32BE(this.start);
    const isCompressed = header >= COMPRESSED_FLAG;
    const length = isCompressed ? header - COMPRESSED_FLAG : header;
    if (length > this.maxFrameBytes) return Err(`frame of ${length} bytes is too long`);
    if (isCompressed && !this.mayBeCompressed) return Err('compressed frame before the handshake');
    this.neededBytes = HEADER_BYTES + length;
    if (this.pendingBytes < this.neededBytes) return Ok(undefined);
    this.join();
    const end = this.start + this.neededBytes;
    const body = this.joined.subarray(this.start + HEADER_BYTES, end);
    this.release(this.neededBytes);
    this.start = end;
    this.neededBytes = HEADER_BYTES;
    return isCompressed ? inflate(body, this.maxFrameBytes) : Ok(body);
  }

  /** Drops the buffered bytes. */
  close(): void {
    this.release(this.reservedBytes);
    this.joined = Buffer.alloc(0);
    this.start = 0;
    this.chunks = [];
    this.chunkBytes = 0;
    this.neededBytes = HEADER_BYTES;
  }

  private get pendingBytes(): number {
    return this.joined.length - this.start + this.chunkBytes;
  }

  /** Joins the chunks, unless `joined` has the next frame or its header already. */
  private join(): void {
    if (this.joined.length - this.start >= this.neededBytes) return;
    const [first] = this.chunks;
    const rest = this.joined.subarray(this.start);
    this.joined = rest.length === 0 && this.chunks.length === 1 && first !== undefined
      ? first : Buffer.concat([rest, ...this.chunks]);
    this.start = 0;
    this.chunks = [];
    this.chunkBytes = 0;
  }

  private release(bytes: number): void {
    this.reservedBytes -= bytes;
    this.budget.release(bytes);
  }
}
