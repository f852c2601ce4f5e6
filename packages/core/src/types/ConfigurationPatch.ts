import * as z from 'zod';

import PatchOperation from './PatchOperation';

const MAX_OPERATIONS = 10_000;

/**
 * JSON Patch against a version (`base`) of the configuration. The id is chosen by the operator and
 * identifies resends of the same patch.
 */
const ConfigurationPatch = z.strictObject({
  id: z.string().min(1).max(128),
  base: z.int().min(0),
  operations: z.array(PatchOperation).max(MAX_OPERATIONS),
});
type ConfigurationPatch = z.infer<typeof ConfigurationPatch>;

export default ConfigurationPatch;
