import { performance } from 'node:perf_hooks';
import { writeFileSync } from 'node:fs';

/** Record of what was sent, answered and run, with the time since the start in seconds. */
export default class Recorder {
  /** @param path - file that receives the record */
  constructor(path) {
    this.path = path;
    this.startedAtMs = performance.now();
    this.lines = [];
  }

  /** Adds a line. @param text - the line; @param atMs - when it happened */
  add(text, atMs = performance.now()) {
    this.lines.push({ atMs, text });
  }

  /** Writes the record, in the order of time. */
  write() {
    const lines = this.lines.sort((a, b) => a.atMs - b.atMs)
      .map(({ atMs, text }) => `${((atMs - this.startedAtMs) / 1000).toFixed(3).padStart(8)} ${text}`);
    writeFileSync(this.path, `${lines.join('\n')}\n`);
  }
}
