import type DirectoryEntry from './DirectoryEntry';

/** The targets known to one entry. */
interface DirectoryState {
  /** Name of this entry. */
  readonly self: string;
  readonly entries: Map<string, DirectoryEntry>;
  /** Incremented on each change to the live targets. */
  changeCount: number;
}

export default DirectoryState;
