import type OwnershipTable from '@guavayard/target/OwnershipTable';
import type TargetDirectory from '@guavayard/target/TargetDirectory';
import type EntrySessions from '@guavayard/vm/entry/EntrySessions';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';

/** The tasks of an entry that track targets and share them with other entries. */
interface TargetTasks {
  readonly directory: TargetDirectory;
  readonly ownership: OwnershipTable;
  readonly sessions: EntrySessions;
  /** Updates the set of entries of the system, which includes this one. */
  updateMembership: (entries: readonly VmIdentity[]) => void;
  /** Gives up the ownership of all targets and notifies the other entries. */
  releaseOwnership: () => void;
  /** Stops the timers. */
  stop: () => void;
}

export default TargetTasks;
