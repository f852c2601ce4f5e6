import type BurnReport from '@guavayard/core/objectives/BurnReport';

import type VmOverview from './VmOverview';

/** What the operators' API gathers from the VMs when it is asked. */
interface ReportService {
  /** @returns the status of every VM that can be reached */
  vms: () => Promise<VmOverview>;
  /** @returns the report on service-level burn */
  burn: () => Promise<BurnReport>;
}

export default ReportService;
