import { constants } from 'node:fs';
import { open, type FileHandle } from 'node:fs/promises';

import type DataFolder from './DataFolder';
import encodeRecord from './encodeRecord';
import recordLayout from './recordLayout';
import type LogStart from './LogStart';
import type SyncMark from './SyncMark';

const FILE = 'consensus.synced';

/**
 * File that says how far the log was synced: what follows may be torn after a loss of power, and
 * damage before that is corruption. Owns the file handle.
 */
export default class SyncMarkFile {
  static readonly fileName = FILE;

  private constructor(private readonly handle: FileHandle, private sequence: number) {}

  /**
   * Opens the file, and creates it if there is none. The log must be durable before.
   *
   * @param folder - the data folder
   * @param sequence - sequence of the newest mark in the file, 0 if there is none
   * @returns the file
   */
  static async open(folder: DataFolder, sequence: number): Promise<SyncMarkFile> {
    const handle = await open(folder.pathOf(FILE), constants.O_RDWR + constants.O_CREAT);
    return new SyncMarkFile(handle, sequence);
  }

  /**
   * Writes the next mark and leaves the present one as it is. If the next one turns out to be of a
   * log that has not come into use, it is overwritten by another.
   *
   * @param start - start of the log, which tells it from other logs
   * @param syncedBytes - length of what has been synced of the log, in bytes
   * @returns nothing, once the mark is synced
   */
  async writeNext(start: LogStart, syncedBytes: number): Promise<void> {
    const sequence = this.sequence + 1;
    const mark: SyncMark = {
      kind: 'synced', sequence, ...start, syncedBytes,
    };
    const sector = Buffer.alloc(recordLayout.sectorBytes);
    encodeRecord(mark).copy(sector);
    await this.handle.write(sector, 0, sector.length, (sequence % 2) * sector.length);
    await this.handle.datasync();
  }

  /** Makes the next mark the present one. */
  advance(): void {
    this.sequence += 1;
  }

  async close(): Promise<void> {
    await this.handle.close();
  }
}
