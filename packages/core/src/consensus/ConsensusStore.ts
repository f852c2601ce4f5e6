import type ConsensusRecord from './ConsensusRecord';

/** The durable log of a replica. */
interface ConsensusStore {
  /**
   * Appends records.
   *
   * @returns once they are synced
   */
  append: (records: readonly ConsensusRecord[]) => Promise<void>;
  /**
   * Replaces the whole log at once, also across a crash.
   *
   * @returns once the new log is synced
   */
  replace: (records: readonly ConsensusRecord[]) => Promise<void>;
}

export default ConsensusStore;
