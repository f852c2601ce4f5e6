import { write } from 'node:fs';

/** Maximum bytes of buffered lines; lines beyond this are dropped and counted. */
const MAX_PENDING_BYTES = 256 * 1024;
/** Delay in milliseconds before a flush, so that lines are written in batches. */
const FLUSH_DELAY_MS = 200;
const STDOUT = 1;

/** Writes log lines to standard output without blocking on a slow reader. */
export default class BoundedLogStream {
  private pending: string[] = [];

  private pendingBytes = 0;

  private dropped = 0;

  private isWriting = false;

  private timer: NodeJS.Timeout | undefined;

  /**
   * Buffers a line for the next flush, or drops it if the buffer is full.
   *
   * @param line - the line, including its newline
   */
  write(line: string): void {
    if (this.pendingBytes + line.length > MAX_PENDING_BYTES) {
      this.dropped += 1;
      return;
    }
    this.pending.push(line);
    this.pendingBytes += line.length;
    this.timer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MS);
  }

  /** Starts to write the buffered lines; does not wait until they are written. */
  flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.isWriting || this.pending.length === 0) return;
    if (this.dropped > 0) this.pending.push(`${JSON.stringify({ msg: 'log lines dropped', dropped: this.dropped })}\n`);
    this.dropped = 0;
    const bytes = Buffer.from(this.pending.join(''));
    this.pending = [];
    this.pendingBytes = 0;
    this.isWriting = true;
    this.writeAll(bytes);
  }

  private writeAll(bytes: Buffer): void {
    write(STDOUT, bytes, (err, written) => {
      // Write errors are ignored: a closed pipe must not end the process, and no reader is left.
      if (err === null && written < bytes.length) {
        this.writeAll(bytes.subarray(written));
        return;
      }
      this.isWriting = false;
      if (this.pending.length > 0) this.timer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MS);
    });
  }
}
