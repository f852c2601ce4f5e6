import { open, type FileHandle } from 'node:fs/promises';

import { Err, Ok, type Result } from 'ts-results';

import type DataFolder from './DataFolder';
import encodeRecord from './encodeRecord';
import scanRecords from './scanRecords';

/** An append-only file of checksummed records. A record is durable once `append` resolves. */
export default class RecordLog {
  private constructor(private readonly handle: FileHandle) {}

  /**
   * Opens a log and reads its records; a torn tail is cut off.
   *
   * @param folder - the data folder
   * @param name - file name of the log
   * @returns the log and its records, or a description of the damage
   */
  static async open(
    folder: DataFolder,
    name: string,
  ): Promise<Result<{ log: RecordLog; values: readonly unknown[] }, string>> {
    const handle = await open(folder.file(name), 'a+');
    const bytes = await handle.readFile();
    const scan = scanRecords(bytes);
    if (scan.err) {
      await handle.close();
      return Err(`${folder.file(name)}: ${scan.val}`);
    }
    if (scan.val.validBytes < bytes.length) await handle.truncate(scan.val.validBytes);
    await handle.sync();
    await folder.sync();
    return Ok({ log: new RecordLog(handle), values: scan.val.values });
  }

  /**
   * Appends records and syncs them to the disk.
   *
   * @param values - the values, one record each
   */
  async append(...values: unknown[]): Promise<void> {
    await this.handle.appendFile(Buffer.concat(values.map(encodeRecord)));
    await this.handle.sync();
  }

  /** Closes the file. */
  async close(): Promise<void> {
    await this.handle.close();
  }
}
