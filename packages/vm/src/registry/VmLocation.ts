import * as z from 'zod';

import HostPort from '@guavayard/core/types/HostPort';
import Name from '@guavayard/core/types/Name';

/** Name of a VM, the address at which it accepts sessions, and its region and data centre. */
const VmLocation = z.strictObject({
  name: Name, address: HostPort, region: Name, dataCentre: Name,
});
type VmLocation = z.infer<typeof VmLocation>;

export default VmLocation;
