import * as z from 'zod';

import RegistryChange from '@guavayard/core/registry/RegistryChange';
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
]);
type ControlCall = z.infer<typeof ControlCall>;

export default ControlCall;
