/** A role or VM that runs in this process. */
interface Stoppable {
  /** Stops taking new work, finishes what is under way and releases everything. */
  stop: () => Promise<void>;
}

export default Stoppable;
