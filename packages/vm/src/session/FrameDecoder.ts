import { inflateRawSync } from 'node:zlib';

import { Err, Ok, type Result } from 'ts-results';

import frameLayout from './frameLayout';

const { headerBytes: HEADER_BYTES, maxFrameBytes: MAX_FRAME_BYTES, compressedFlag } = frameLayout;

function inflate(body: Buffer): Result<Buffer, string> {
  try {
    return Ok(inflateRawSync(body, { maxOutputLength: MAX_FRAME_BYTES }));
  } catch (err) {
    return Err(`frame cannot be decompressed: ${(err as Error).message}`);
  }
}

/** Splits a byte stream into length-prefixed frames. */
export default class FrameDecoder {
  private chunks: Buffer[] = [];

  private pendingBytes = 0;

  /** Number of pending bytes that complete the next frame, or its header while that is missing. */
  private neededBytes: number = HEADER_BYTES;

  /**
   * Adds the next bytes of the stream.
   *
   * @param chunk - bytes as received
   * @returns the frames that are now complete, or an error if a frame is too long or cannot be
   *   decompressed
   */
  push(chunk: Buffer): Result<Buffer[], string> {
    this.chunks.push(chunk);
    this.pendingBytes += chunk.length;
    // Chunks are joined only once a frame is complete, so that a long frame is copied only once.
    if (this.pendingBytes < this.neededBytes) return Ok([]);
    return this.extractFrames(this.chunks.length === 1 ? chunk : Buffer.concat(this.chunks));
  }

  private extractFrames(pending: Buffer): Result<Buffer[], string> {
    const frames: Buffer[] = [];
    let start = 0;
    let needed: number = HEADER_BYTES;
    while (pending.length - start >= needed) {
      const header = pending.readUInt32BE(start);
      const isCompressed = header >= compressedFlag;
      const length = isCompressed ? header - compressedFlag : header;
      if (length > MAX_FRAME_BYTES) return Err(`frame of ${length} bytes is too long`);
      const end = start + HEADER_BYTES + length;
      if (end > pending.length) {
        needed = HEADER_BYTES + length;
        break;
      }
      const body = pending.subarray(start + HEADER_BYTES, end);
      const frame = isCompressed ? inflate(body) : Ok(body);
      if (frame.err) return frame;
      frames.push(frame.val);
      start = end;
    }
    this.chunks = start === pending.length ? [] : [pending.subarray(start)];
    this.pendingBytes = pending.length - start;
    this.neededBytes = needed;
    return Ok(frames);
  }
}
