import type BenchEntry from './BenchEntry';
import type Fleet from './Fleet';

/** A fault that is injected into a run. */
interface Fault {
  readonly name: string;
  /**
   * Schedules the fault on the virtual clock.
   *
   * @param fleet - the targets and the clock
   * @param entries - the entries
   */
  start: (fleet: Fleet, entries: readonly BenchEntry[]) => void;
}

export default Fault;
