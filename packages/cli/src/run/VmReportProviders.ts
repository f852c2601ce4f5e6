import type EntryCounts from '@guavayard/core/objectives/EntryCounts';
import type VmStatus from '@guavayard/core/types/VmStatus';

/** Functions by which the roles of a VM contribute to its status and report. */
interface VmReportProviders {
  /** Returns the version of the configuration that the VM holds. */
  readonly version: () => number | undefined;
  readonly entry: () => VmStatus['entry'];
  readonly control: () => VmStatus['control'];
  /** Returns the request counts of the entry for each service. */
  readonly services: () => EntryCounts['services'] | undefined;
}

export default VmReportProviders;
