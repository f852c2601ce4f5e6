/** Chunks below this size are copied, as each of its own costs a hundred bytes and more. */
const SMALL_BYTES = 1024;
const BLOCK_BYTES = 4096;

/** Collects the chunks of a body, and joins small ones. */
export default class ChunkList {
  private chunks: Buffer[] = [];

  private block: Buffer | undefined;

  private blockBytes = 0;

  /**
   * Adds a chunk.
   *
   * @param chunk - the chunk, of any size
   */
  push(chunk: Buffer): void {
    if (chunk.length >= SMALL_BYTES) {
      this.closeBlock();
      this.chunks.push(chunk);
      return;
    }
    if (this.blockBytes + chunk.length > BLOCK_BYTES) this.closeBlock();
    this.block ??= Buffer.allocUnsafeSlow(BLOCK_BYTES);
    chunk.copy(this.block, this.blockBytes);
    this.blockBytes += chunk.length;
  }

  /**
   * Returns what was added, in order.
   *
   * @returns the chunks, which may be fewer than were added; valid until more is added
   */
  list(): Buffer[] {
    const last = this.block?.subarray(0, this.blockBytes);
    return [...this.chunks, ...(last === undefined ? [] : [last])];
  }

  /**
   * Removes and returns what was added, in order.
   *
   * @returns the chunks, which may be fewer than were added
   */
  take(): Buffer[] {
    this.closeBlock();
    const { chunks } = this;
    this.chunks = [];
    return chunks;
  }

  private closeBlock(): void {
    if (this.block === undefined) return;
    this.chunks.push(Buffer.from(this.block.subarray(0, this.blockBytes)));
    this.block = undefined;
    this.blockBytes = 0;
  }
}
