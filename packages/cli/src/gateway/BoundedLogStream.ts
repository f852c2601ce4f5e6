import { write } from 'node:fs';

/** Bytes of lines that wait for a slow reader; further lines are dropped and counted. */
const MAX_PENDING_BYTES = 256 * 1024;
/** Lines within this time are written together, in milliseconds. */
const FLUSH_MS = 200;
const STDOUT = 1;

/** Writes log lines to the standard output without ever waiting for its reader. */
export default class BoundedLogStream {
  private pending: string[] = [];

  private pendingBytes = 0;

  private dropped = 0;

  private isWriting = false;

  private timer: NodeJS.Timeout | undefined;

  /**
   * Takes a line.
   *
   * @param line - the line with its newline
   */
  write(line: string): void {
    if (this.pendingBytes + line.length > MAX_PENDING_BYTES) {
      this.dropped += 1;
      return;
    }
    this.pending.push(line);
    this.pendingBytes += line.length;
    this.timer ??= setTimeout(() => this.flush(), FLUSH_MS);
  }

  /** Writes what is pending, without waiting for the end of it. */
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
      // A reader that went away must not end the VM; there is nobody left to tell.
      if (err === null && written < bytes.length) {
        this.writeAll(bytes.subarray(written));
        return;
      }
      this.isWriting = false;
      if (this.pending.length > 0) this.timer ??= setTimeout(() => this.flush(), FLUSH_MS);
    });
  }
}
