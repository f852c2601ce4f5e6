import * as z from 'zod';

import Rollout from '../rollouts/Rollout';
import ExternalName from '../types/ExternalName';
import Declaration from './Declaration';
import RegisteredTarget from './RegisteredTarget';

/** Replicated state of the registry: the declaration, evacuations and targets. */
const RegistryState = z.strictObject({
  declaration: Declaration.optional(),
  /** Data centres whose targets receive no new requests. */
  evacuated: z.array(ExternalName),
  targets: z.record(z.string(), RegisteredTarget),
  /**
   * `bornAtMs` of the last ended incarnation of each target id. Delayed announcements of an ended
   * incarnation are ignored.
   */
  ended: z.record(z.string(), z.number()),
  /** The last roll-out of each service. From version 5 of the messages on. */
  rollouts: z.record(ExternalName, Rollout).optional(),
});
type RegistryState = z.infer<typeof RegistryState>;

export default RegistryState;
