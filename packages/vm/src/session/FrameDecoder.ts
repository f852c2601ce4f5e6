import { Err, Ok, type Result } from 'ts-results';

/** Bytes of the length that stands before each frame. */
const HEADER_BYTES = 4;
/** Longest frame that a peer may send, in bytes. */
const MAX_FRAME_BYTES = 64 * 1024 * 1024;

/** Cuts a byte stream into length-prefixed frames. */
export default class FrameDecoder {
  private pending: Buffer = Buffer.alloc(0);

  /**
   * Takes the next bytes of the stream.
   *
   * @param chunk - bytes as they arrived
   * @returns the frames that are now complete, or an error if a frame is too long
   */
  push(chunk: Buffer): Result<Buffer[], string> {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const frames: Buffer[] = [];
    while (this.pending.length >= HEADER_BYTES) {
      const length = this.pending.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) return Err(`frame of ${length} bytes is too long`);
      const end = HEADER_BYTES + length;
      if (this.pending.length < end) break;
      frames.push(this.pending.subarray(HEADER_BYTES, end));
      this.pending = this.pending.subarray(end);
    }
    return Ok(frames);
  }
}
