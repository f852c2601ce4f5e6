import { constants } from 'node:fs';
import {
  access, mkdir, open, readdir,
} from 'node:fs/promises';
import { dirname, join } from 'node:path';

/** Folder that holds all durable state of a VM. */
export default class DataFolder {
  /**
   * @param path - path of the folder
   */
  constructor(readonly path: string) {}

  /**
   * Creates the folder if it does not exist, and checks that it is readable and writable.
   *
   * @throws if the folder cannot be created, read or written
   */
  async prepare(): Promise<void> {
    await mkdir(this.path, { recursive: true });
    await access(this.path, constants.R_OK);
    await access(this.path, constants.W_OK);
  }

  /**
   * Returns the path of a file in the folder.
   *
   * @param name - file name
   * @returns the path, whether or not the file exists
   */
  pathOf(name: string): string {
    return join(this.path, name);
  }

  /** @returns the names of the files in the folder */
  async list(): Promise<string[]> {
    return readdir(this.path);
  }

  /** Syncs the folder and its parent, so that created and renamed files survive a crash. */
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
