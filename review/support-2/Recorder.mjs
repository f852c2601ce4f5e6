import { writeFileSync } from 'node:fs';

/** Writes what was sent, answered and run to `record.txt` in the folder of a case. */
export default class Recorder {
  lines = [];

  constructor(folder) {
    this.path = `${folder}/record.txt`;
    this.startedAt = Date.now();
  }

  /** Adds a line with the time since the start, in milliseconds. */
  add(text, atMs = Date.now()) {
    this.lines.push({ atMs, text });
  }

  write() {
    const text = this.lines.sort((a, b) => a.atMs - b.atMs)
      .map(({ atMs, text: line }) => `${String(atMs - this.startedAt).padStart(7)} ms  ${line}`)
      .join('\n');
    writeFileSync(this.path, `${text}\n`);
  }
}
