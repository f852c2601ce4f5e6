import type OwnershipTable from '@guavayard/target/OwnershipTable';
import type TargetDirectory from '@guavayard/target/TargetDirectory';
import type EntrySessions from '@guavayard/vm/entry/EntrySessions';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';

/** The tasks of an entry that know targets. */
interface TargetTasks {
  readonly directory: TargetDirectory;
  readonly ownership: OwnershipTable;
  readonly sessions: EntrySessions;
  /** Takes the entries of the system, this one included. */
  updateMembership: (entries: readonly VmIdentity[]) => void;
  /** Acts as the owner of no target from now on, and tells the other entries. */
  releaseOwnership: () => void;
  /** Stops the timers. */
  stop: () => void;
}

export default TargetTasks;
