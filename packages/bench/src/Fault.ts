import type BenchEntry from './BenchEntry';
import type Fleet from './Fleet';

/** Something that goes wrong during a run. */
interface Fault {
  readonly name: string;
  /**
   * Plans the fault on the virtual clock.
   *
   * @param fleet - the targets
   * @param entries - the entries
   */
  start: (fleet: Fleet, entries: readonly BenchEntry[]) => void;
}

export default Fault;
