import * as z from 'zod';

import Configuration from './Configuration';

/** Configuration with its version. Version 0 is the empty document. */
const VersionedConfiguration = z.strictObject({
  version: z.int().min(0),
  configuration: Configuration,
});
type VersionedConfiguration = z.infer<typeof VersionedConfiguration>;

export default VersionedConfiguration;
