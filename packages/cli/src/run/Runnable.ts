/** A role that runs in this process. */
interface Runnable {
  /** Stops taking new work, finishes what is under way and releases everything. */
  stop: () => Promise<void>;
}

export default Runnable;
