import type ConsensusRecord from './ConsensusRecord';

/** Durable storage of a replica's records. */
interface ConsensusStore {
  /**
   * Appends records to the log.
   *
   * @returns a promise that resolves once the records are synced
   */
  append: (records: readonly ConsensusRecord[]) => Promise<void>;
  /**
   * Replaces the complete log atomically, even if the process crashes meanwhile.
   *
   * @returns a promise that resolves once the new log is synced
   */
  replace: (records: readonly ConsensusRecord[]) => Promise<void>;
  /**
   * Notes that all records are synced, so that a start can tell damage of them from a write that
   * was not completed.
   *
   * @returns a promise that resolves once the note is synced
   */
  markSynced?: () => Promise<void>;
}

export default ConsensusStore;
