import { open, rename, type FileHandle } from 'node:fs/promises';
import { crc32 } from 'node:zlib';

import type ConsensusRecord from '@guavayard/core/consensus/ConsensusRecord';
import type ConsensusStore from '@guavayard/core/consensus/ConsensusStore';
import type ReplicaId from '@guavayard/core/consensus/ReplicaId';

import type DataFolder from './DataFolder';
import encodeRecord from './encodeRecord';
import type LogStart from './LogStart';
import SyncMarkFile from './SyncMarkFile';
import writeAtOnce from './writeAtOnce';

const FILE = 'consensus.log';
const NEW_FILE = 'consensus.log.new';

/** A log as it was found. */
interface FoundLog {
  /** The complete records. */
  readonly bytes: Buffer;
  /** Start of the log according to its mark; undefined if it has none. */
  readonly start: LogStart | undefined;
  /** Sequence of the newest mark, 0 if there is none. */
  readonly sequence: number;
}

function describeStart(bytes: Buffer): LogStart {
  return { initialBytes: bytes.length, initialChecksum: crc32(bytes) };
}

/** File that stores the identity, term, vote and log of a replica. Owns the file handle. */
export default class ReplicaLog implements ConsensusStore {
  static readonly fileName = FILE;

  static readonly newFileName = NEW_FILE;

  /** Length of the log, all of which is synced, in bytes. */
  private bytes = 0;

  /** Whether a write has failed, so that only a new file holds what is known. */
  private isUncertain = false;

  /** Start of the log, which tells it from other logs. */
  private start: LogStart = { initialBytes: 0, initialChecksum: 0 };

  /** Length up to which the log is marked as synced, in bytes. */
  private markedBytes = 0;

  private constructor(
    private readonly folder: DataFolder,
    readonly replica: ReplicaId,
    private handle: FileHandle | undefined,
    private marks: SyncMarkFile | undefined,
  ) {}

  /**
   * Creates the file of a new replica.
   *
   * @param folder - the data folder
   * @param replica - identity of the replica
   * @param records - its initial records
   * @returns the log, once it is synced
   */
  static async create(
    folder: DataFolder,
    replica: ReplicaId,
    records: readonly ConsensusRecord[],
  ): Promise<ReplicaLog> {
    const log = new ReplicaLog(folder, replica, undefined, undefined);
    try {
      await log.replace(records);
      await log.startMarks(0);
    } catch (err) {
      await log.close();
      throw err;
    }
    return log;
  }

  /**
   * Opens an existing file for appending and truncates a torn write at its end.
   *
   * @param folder - the data folder
   * @param replica - identity of the replica
   * @param found - what was read of the file
   * @returns the log, once it is synced
   */
  static async openExisting(
    folder: DataFolder,
    replica: ReplicaId,
    { bytes, start, sequence }: FoundLog,
  ): Promise<ReplicaLog> {
    const handle = await open(folder.pathOf(FILE), 'a');
    const log = new ReplicaLog(folder, replica, handle, undefined);
    try {
      await handle.truncate(bytes.length);
      await handle.sync();
      // The former process may have ended between a rename and the sync of the folder.
      await folder.sync();
      log.restart(bytes.length, start ?? describeStart(bytes));
      await log.startMarks(sequence);
    } catch (err) {
      await log.close();
      throw err;
    }
    return log;
  }

  async append(records: readonly ConsensusRecord[]): Promise<void> {
    if (this.handle === undefined) return;
    if (this.isUncertain) throw new Error('the log must be replaced after a failed write');
    const bytes = Buffer.concat(records.map(encodeRecord));
    this.isUncertain = true;
    await writeAtOnce(this.handle, bytes);
    await this.handle.datasync();
    this.isUncertain = false;
    this.bytes += bytes.length;
  }

  async replace(records: readonly ConsensusRecord[]): Promise<void> {
    const identity = { kind: 'identity', replica: this.replica };
    const bytes = Buffer.concat([identity, ...records].map(encodeRecord));
    const start = describeStart(bytes);
    this.isUncertain = true;
    const next = await open(this.folder.pathOf(NEW_FILE), 'w');
    try {
      await next.appendFile(bytes);
      await next.sync();
      // Marked before it is in use, as its first append may be torn.
      await this.marks?.writeNext(start, bytes.length);
      await rename(this.folder.pathOf(NEW_FILE), this.folder.pathOf(FILE));
      await this.folder.sync();
    } catch (err) {
      await next.close();
      throw err;
    }
    this.marks?.advance();
    const former = this.handle;
    // The handle stays valid after the rename, and its position is at the end of the file.
    this.handle = next;
    this.isUncertain = false;
    this.restart(bytes.length, start);
    await former?.close();
  }

  async markSynced(): Promise<void> {
    if (this.markedBytes === this.bytes) return;
    await this.marks?.writeNext(this.start, this.bytes);
    this.marks?.advance();
    this.markedBytes = this.bytes;
  }

  /** Closes the files. Later appends are ignored. */
  async close(): Promise<void> {
    await this.handle?.close();
    await this.marks?.close();
    this.handle = undefined;
    this.marks = undefined;
  }

  /** Creates the file of marks once the log is durable: without a log, the folder is invalid. */
  private async startMarks(sequence: number): Promise<void> {
    this.marks = await SyncMarkFile.open(this.folder, sequence);
    this.markedBytes = 0;
    await this.markSynced();
    await this.folder.sync();
  }

  private restart(bytes: number, start: LogStart): void {
    this.bytes = bytes;
    this.start = start;
    this.markedBytes = bytes;
  }
}
