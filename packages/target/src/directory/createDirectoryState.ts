import type DirectoryState from './DirectoryState';

/**
 * Creates the directory of an entry that knows no targets yet.
 *
 * @param self - name of the entry
 * @returns the empty directory
 */
export default function createDirectoryState(self: string): DirectoryState {
  return { self, entries: new Map(), changeCount: 0 };
}
