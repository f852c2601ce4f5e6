import * as z from 'zod';

import RegistryState from '../registry/RegistryState';
import VersionedConfiguration from '../types/VersionedConfiguration';

/** The latest accepted configuration, and which patch created each version. */
const ConfigurationSnapshot = z.strictObject({
  latest: VersionedConfiguration,
  /** Fixed-length digests of the ids of the accepted patches, version 1 first. */
  idDigests: z.instanceof(Uint8Array),
  /** State of the registry, in systems that are configured by declarations. */
  registry: RegistryState.optional(),
});
type ConfigurationSnapshot = z.infer<typeof ConfigurationSnapshot>;

export default ConfigurationSnapshot;
