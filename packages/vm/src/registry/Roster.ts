import type VmPlace from './VmPlace';

/** The VMs of the system. */
interface Roster {
  readonly controls: readonly VmPlace[];
  readonly entries: readonly VmPlace[];
}

export default Roster;
