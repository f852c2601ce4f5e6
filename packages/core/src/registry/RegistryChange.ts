import * as z from 'zod';

import rolloutChanges from '../rollouts/rolloutChanges';
import ExternalName from '../types/ExternalName';
import Declaration from './Declaration';
import RegisteredTarget from './RegisteredTarget';

/** Change of the registry, as stored in the replicated log. */
const RegistryChange = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('declare'), declaration: Declaration }),
  z.strictObject({ kind: z.literal('evacuate'), dataCentre: ExternalName }),
  z.strictObject({ kind: z.literal('restore'), dataCentre: ExternalName }),
  z.strictObject({ kind: z.literal('announce'), target: RegisteredTarget }),
  /** The target has deregistered itself. */
  z.strictObject({ kind: z.literal('withdraw'), targetId: z.string() }),
  /** The target has not announced itself for too long; a later announcement registers it again. */
  z.strictObject({
    kind: z.literal('expire'), targetId: z.string(), bornAtMs: z.number(), sequence: z.number(),
  }),
  ...rolloutChanges,
]);
type RegistryChange = z.infer<typeof RegistryChange>;

export default RegistryChange;
