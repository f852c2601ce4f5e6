import { z } from 'zod';

import VersionedConfiguration from '../types/VersionedConfiguration';

/** The latest accepted configuration, and who made each version. */
const ConfigurationSnapshot = z.strictObject({
  latest: VersionedConfiguration,
  /** A digest of fixed length for the id of each accepted patch, version 1 first. */
  idDigests: z.instanceof(Uint8Array),
});
type ConfigurationSnapshot = z.infer<typeof ConfigurationSnapshot>;

export default ConfigurationSnapshot;
