import type VmLocation from './VmLocation';

/** The control VMs and entries of the system. */
interface Roster {
  readonly controls: readonly VmLocation[];
  readonly entries: readonly VmLocation[];
}

export default Roster;
