import * as z from 'zod';

/** Versions that the entries dispatch under, as known to the leader from their leases. */
const ConfigurationEnforcement = z.strictObject({
  /** The latest accepted version. */
  version: z.int().min(0),
  /**
   * The version in force: the highest one such that no entry can dispatch under an older version.
   * Undefined while that is not known.
   */
  inForceVersion: z.int().min(0).optional(),
  /** Name of the control VM that leads. */
  leader: z.string(),
  /** Term of the leader; it increases with each election. */
  term: z.int().min(0),
  /** Names of the control VMs that are voters. */
  voters: z.array(z.string()),
  /** Names of the control VMs that are learners, which do not vote yet. */
  learners: z.array(z.string()),
  entries: z.array(z.strictObject({ name: z.string(), heldVersion: z.int().min(0).optional() })),
});
type ConfigurationEnforcement = z.infer<typeof ConfigurationEnforcement>;

export default ConfigurationEnforcement;
