import * as z from 'zod';

import RegistryChange from '@guavayard/core/registry/RegistryChange';
import RolloutOrder from '@guavayard/core/rollouts/RolloutOrder';
import ExternalName from '@guavayard/core/types/ExternalName';
import ConfigurationPatch from '@guavayard/core/types/ConfigurationPatch';

/** A call of the operators' API that only the leader can serve. */
const ControlCall = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('submit'), patch: ConfigurationPatch }),
  z.strictObject({
    kind: z.literal('outcome'), id: z.string().min(1).max(128), base: z.int().min(0),
  }),
  z.strictObject({ kind: z.literal('configuration') }),
  z.strictObject({ kind: z.literal('enforcement') }),
  z.strictObject({
    kind: z.literal('change'),
    change: RegistryChange,
    /**
     * Index up to which the sender knew the log when it received the call. A change without a
     * version of its own is refused if a later entry would be undone by it. From version 3 on.
     */
    basis: z.int().min(0).optional(),
  }),
  z.strictObject({ kind: z.literal('declaration') }),
  /** Brings a version of a service in. From version 5 on. */
  z.strictObject({ kind: z.literal('startRollout'), order: RolloutOrder }),
  /** Reads the last roll-out of a service. From version 5 on. */
  z.strictObject({ kind: z.literal('rollout'), service: ExternalName }),
]);
type ControlCall = z.infer<typeof ControlCall>;

export default ControlCall;
