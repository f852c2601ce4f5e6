import type EntryCounts from '@guavayard/core/objectives/EntryCounts';
import type VmStatus from '@guavayard/core/types/VmStatus';

/** Provides the reports of a VM about itself. */
interface ReportSource {
  /** @returns the status of this VM */
  status: () => VmStatus;
  /** @returns the counts of its entry, undefined if this VM is not an entry */
  counts: () => EntryCounts | undefined;
}

export default ReportSource;
