import type DirectoryState from './DirectoryState';

/**
 * Makes the directory of an entry that knows no target.
 *
 * @param self - name of the entry
 * @returns the state
 */
export default function createDirectoryState(self: string): DirectoryState {
  return { self, entries: new Map(), changes: 0 };
}
