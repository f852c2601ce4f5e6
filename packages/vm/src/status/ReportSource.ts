import type EntryCounts from '@guavayard/core/objectives/EntryCounts';
import type VmStatus from '@guavayard/core/types/VmStatus';

/** What a VM can tell about itself. */
interface ReportSource {
  /** @returns the status of this VM */
  status: () => VmStatus;
  /** @returns what its entry counted, undefined without the role */
  counts: () => EntryCounts | undefined;
}

export default ReportSource;
