import fs from 'node:fs/promises';
import { syncBuiltinESMExports } from 'node:module';
import { basename } from 'node:path';

type Random = () => number;

interface Write {
  readonly offset: number;
  readonly bytes: Buffer;
}

/** Change of a file since its last sync: bytes at an offset, or a new length. */
type FileChange = Write | { readonly length: number };

interface File {
  /** What processes read. */
  bytes: Buffer;
  /** What the disk holds. */
  synced: Buffer;
  changes: FileChange[];
}

/** Change of the names since the last sync of the folder. */
interface NameChange {
  readonly from: string | undefined;
  readonly to: string;
  readonly file: File;
}

/** Longest write that the runtime passes to the system at once, in bytes. */
const MAX_WRITE_BYTES = 512 * 1024;
const SECTOR_BYTES = 512;

const original = { ...fs };

function applyChange(bytes: Buffer, change: FileChange): Buffer {
  if ('length' in change) return Buffer.concat([bytes, Buffer.alloc(change.length)], change.length);
  const end = Math.max(bytes.length, change.offset + change.bytes.length);
  const result = Buffer.alloc(end);
  bytes.copy(result);
  change.bytes.copy(result, change.offset);
  return result;
}

function record(file: File, change: FileChange): void {
  const changed = file;
  changed.bytes = applyChange(file.bytes, change);
  changed.changes.push(change);
}

/**
 * A data folder in memory, which the file functions of this process use. A loss of power keeps what
 * was synced; each later change of a file or a name is kept, lost or, if it is a write, torn.
 */
export default class DiskModel {
  private names = new Map<string, File>();

  private durableNames = new Map<string, File>();

  private nameChanges: NameChange[] = [];

  private operations = 0;

  /** Number of operations after which the process ends; undefined if it goes on. */
  endsAfter: number | undefined;

  /** Numbers of the operations that the disk refuses. */
  private refused = { from: Infinity, to: Infinity };

  constructor(private readonly random: Random) {}

  get operationCount(): number {
    return this.operations;
  }

  /** Makes the file functions of this process use the model. */
  install(): void {
    Object.assign(fs, {
      open: async (path: string, flags: string | number) => this.open(basename(path), flags),
      readFile: async (path: string) => Buffer.from(this.find(path).bytes),
      readdir: async () => [...this.names.keys()],
      rename: async (from: string, to: string) => this.rename(basename(from), basename(to)),
    });
    syncBuiltinESMExports();
  }

  /** Makes the file functions of this process use real files again. */
  static uninstall(): void {
    Object.assign(fs, original);
    syncBuiltinESMExports();
  }

  /** Counts the operations of a new process. */
  startProcess(endsAfter: number | undefined): void {
    this.operations = 0;
    this.endsAfter = endsAfter;
  }

  /** Refuses operations from one number on, up to another, counted since the process started. */
  refuse(from: number, to: number): void {
    this.refused = { from, to };
  }

  /** Forgets what was not synced, or keeps parts of it. */
  losePower(): void {
    this.nameChanges.forEach(({ from, to, file }) => {
      if (this.random() < 0.5) return;
      if (from !== undefined) this.durableNames.delete(from);
      this.durableNames.set(to, file);
    });
    this.nameChanges = [];
    this.names = new Map(this.durableNames);
    new Set(this.names.values()).forEach((lost) => {
      const file = lost;
      file.changes.forEach((change) => {
        file.synced = this.keepPart(file.synced, change);
      });
      file.bytes = file.synced;
      file.changes = [];
    });
  }

  private keepPart(bytes: Buffer, change: FileChange): Buffer {
    const choice = this.random();
    if (choice < 1 / 3) return bytes;
    if (choice < 2 / 3 || 'length' in change) return applyChange(bytes, change);
    return this.random() < 0.5 ? this.tearAtEnd(bytes, change) : this.tearSectors(bytes, change);
  }

  private tearAtEnd(bytes: Buffer, { offset, bytes: written }: Write): Buffer {
    const kept = written.subarray(0, Math.floor(this.random() * written.length));
    return applyChange(bytes, { offset, bytes: kept });
  }

  /** Keeps any sectors of a write; the others hold what they held before, or zeros. */
  private tearSectors(bytes: Buffer, { offset, bytes: written }: Write): Buffer {
    const end = offset + written.length;
    let torn = applyChange(bytes, { length: Math.max(bytes.length, end) });
    for (let start = offset; start < end;) {
      const next = Math.min(end, (Math.floor(start / SECTOR_BYTES) + 1) * SECTOR_BYTES);
      const part = written.subarray(start - offset, next - offset);
      if (this.random() < 0.5) torn = applyChange(torn, { offset: start, bytes: part });
      start = next;
    }
    return torn;
  }

  private count(): void {
    if (this.operations === this.endsAfter) throw new Error('the process has ended');
    this.operations += 1;
    const isRefused = this.operations > this.refused.from && this.operations <= this.refused.to;
    if (isRefused) throw Object.assign(new Error('input/output error'), { code: 'EIO' });
  }

  private find(path: string): File {
    const file = this.names.get(basename(path));
    if (file === undefined) throw new Error(`no file ${path}`);
    return file;
  }

  private rename(from: string, to: string): void {
    this.count();
    const file = this.find(from);
    this.names.delete(from);
    this.names.set(to, file);
    this.nameChanges.push({ from, to, file });
  }

  private open(name: string, flags: string | number): object {
    if (flags === 'r') return { sync: async () => this.syncNames(), close: async () => undefined };
    this.count();
    const file = this.names.get(name)
      ?? { bytes: Buffer.alloc(0), synced: Buffer.alloc(0), changes: [] };
    if (!this.names.has(name)) this.nameChanges.push({ from: undefined, to: name, file });
    this.names.set(name, file);
    if (flags === 'w') record(file, { length: 0 });
    return {
      appendFile: async (bytes: Buffer) => {
        for (let start = 0; start < bytes.length; start += MAX_WRITE_BYTES) {
          this.count();
          const part = Buffer.from(bytes.subarray(start, start + MAX_WRITE_BYTES));
          record(file, { offset: file.bytes.length, bytes: part });
        }
      },
      write: async (bytes: Buffer, start: number, length: number, position: number | null) => {
        this.count();
        const part = Buffer.from(bytes.subarray(start, start + length));
        record(file, { offset: position ?? file.bytes.length, bytes: part });
        return { bytesWritten: length };
      },
      truncate: async (length: number) => {
        this.count();
        record(file, { length });
      },
      sync: async () => this.syncFile(file),
      datasync: async () => this.syncFile(file),
      close: async () => undefined,
    };
  }

  private syncFile(file: File): void {
    this.count();
    const synced = file;
    synced.synced = file.bytes;
    synced.changes = [];
    // A new file becomes durable with its own sync.
    const created = this.nameChanges
      .find((change) => change.from === undefined && change.file === file);
    if (created === undefined) return;
    this.durableNames.set(created.to, file);
    this.nameChanges = this.nameChanges.filter((change) => change !== created);
  }

  private syncNames(): void {
    this.count();
    this.durableNames = new Map(this.names);
    this.nameChanges = [];
  }
}
