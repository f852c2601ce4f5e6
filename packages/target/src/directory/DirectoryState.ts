import type DirectoryEntry from './DirectoryEntry';

/** The targets that one entry knows. */
interface DirectoryState {
  /** Name of the entry. */
  readonly self: string;
  readonly entries: Map<string, DirectoryEntry>;
  /** Grows with each change of the live targets. */
  changes: number;
}

export default DirectoryState;
