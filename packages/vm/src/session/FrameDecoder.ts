import { Err, Ok, type Result } from 'ts-results';

/** Bytes of the length that stands before each frame. */
const HEADER_BYTES = 4;
/** Longest frame that a peer may send, in bytes. */
const MAX_FRAME_BYTES = 64 * 1024 * 1024;

/** Cuts a byte stream into length-prefixed frames. */
export default class FrameDecoder {
  private chunks: Buffer[] = [];

  private pendingBytes = 0;

  /** Bytes that must be pending before the next frame, or at least its length, is whole. */
  private neededBytes = HEADER_BYTES;

  /**
   * Takes the next bytes of the stream.
   *
   * @param chunk - bytes as they arrived
   * @returns the frames that are now complete, or an error if a frame is too long
   */
  push(chunk: Buffer): Result<Buffer[], string> {
    this.chunks.push(chunk);
    this.pendingBytes += chunk.length;
    // Chunks are joined only once a frame is whole, so a long frame is copied once.
    if (this.pendingBytes < this.neededBytes) return Ok([]);
    return this.cutFrames(this.chunks.length === 1 ? chunk : Buffer.concat(this.chunks));
  }

  private cutFrames(pending: Buffer): Result<Buffer[], string> {
    const frames: Buffer[] = [];
    let start = 0;
    let needed = HEADER_BYTES;
    while (pending.length - start >= needed) {
      const length = pending.readUInt32BE(start);
      if (length > MAX_FRAME_BYTES) return Err(`frame of ${length} bytes is too long`);
      const end = start + HEADER_BYTES + length;
      if (end > pending.length) {
        needed = HEADER_BYTES + length;
        break;
      }
      frames.push(pending.subarray(start + HEADER_BYTES, end));
      start = end;
    }
    this.chunks = start === pending.length ? [] : [pending.subarray(start)];
    this.pendingBytes = pending.length - start;
    this.neededBytes = needed;
    return Ok(frames);
  }
}
