import * as z from 'zod';

import VmStatus from '@guavayard/core/types/VmStatus';

/** The status of all VMs, as collected by one control VM. */
const VmOverview = z.object({
  vms: z.array(VmStatus),
  /** VMs with an open session that did not respond in time. */
  silent: z.array(z.string()),
});
type VmOverview = z.infer<typeof VmOverview>;

export default VmOverview;
