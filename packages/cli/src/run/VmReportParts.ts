import type EntryCounts from '@guavayard/core/objectives/EntryCounts';
import type VmStatus from '@guavayard/core/types/VmStatus';

/** What the roles of a VM tell about themselves when they are asked. */
interface VmReportParts {
  /** Version of the configuration that the VM holds. */
  readonly version: () => number | undefined;
  readonly entry: () => VmStatus['entry'];
  readonly control: () => VmStatus['control'];
  /** What the entry counted for each service. */
  readonly services: () => EntryCounts['services'] | undefined;
}

export default VmReportParts;
