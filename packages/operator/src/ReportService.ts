import type BurnReport from '@guavayard/core/objectives/BurnReport';

import type VmOverview from './VmOverview';

/** Reports that the operators' API collects from the VMs on request. */
interface ReportService {
  /** @returns the status of every reachable VM */
  vms: () => Promise<VmOverview>;
  /** @returns the error budget burn of the service-level objectives */
  readBurnReport: () => Promise<BurnReport>;
}

export default ReportService;
