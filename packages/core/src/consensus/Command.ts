import * as z from 'zod';

import RegistryChange from '../registry/RegistryChange';
import ConfigurationPatch from '../types/ConfigurationPatch';
import Members from './Members';

/** Command of a replicated log entry, applied once the entry is committed. */
const Command = z.discriminatedUnion('kind', [
  /** Commits the entries of earlier terms. Each new leader appends one. */
  z.strictObject({ kind: z.literal('noop') }),
  z.strictObject({ kind: z.literal('patch'), patch: ConfigurationPatch }),
  z.strictObject({ kind: z.literal('registry'), change: RegistryChange }),
  /** Replaces the members. Takes effect as soon as it is in the log, before it is committed. */
  z.strictObject({ kind: z.literal('members'), members: Members }),
]);
type Command = z.infer<typeof Command>;

export default Command;
