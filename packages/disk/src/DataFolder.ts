import { constants } from 'node:fs';
import {
  access, mkdir, open, readdir,
} from 'node:fs/promises';
import { dirname, join } from 'node:path';

/** The one folder that holds a VM's durable state. */
export default class DataFolder {
  constructor(readonly path: string) {}

  /**
   * Makes the folder if it is missing and checks that it is writable.
   *
   * @throws if it cannot be made or written
   */
  async prepare(): Promise<void> {
    await mkdir(this.path, { recursive: true });
    await access(this.path, constants.R_OK);
    await access(this.path, constants.W_OK);
  }

  /**
   * @param name - file name
   * @returns the path of a file in the folder
   */
  file(name: string): string {
    return join(this.path, name);
  }

  /** @returns the names of the files in the folder */
  async list(): Promise<string[]> {
    return readdir(this.path);
  }

  /** Syncs the folder itself, so that a file made or renamed in it survives a crash. */
  async sync(): Promise<void> {
    await DataFolder.syncDirectory(this.path);
    await DataFolder.syncDirectory(dirname(this.path));
  }

  private static async syncDirectory(path: string): Promise<void> {
    const handle = await open(path, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }
}
