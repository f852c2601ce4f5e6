import * as z from 'zod';

import ConfigurationEnforcement from '@guavayard/core/configuration/ConfigurationEnforcement';
import PatchOutcome from '@guavayard/core/configuration/PatchOutcome';
import errorTable from '@guavayard/core/errors/errorTable';
import type ErrorKind from '@guavayard/core/errors/ErrorKind';
import Rollout from '@guavayard/core/rollouts/Rollout';
import VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

const errorKinds = Object.keys(errorTable) as [ErrorKind, ...ErrorKind[]];

/** The leader's response to a call of the operators' API. */
const ControlResponse = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('accepted'), version: z.int() }),
  z.strictObject({ kind: z.literal('outcome'), outcome: PatchOutcome }),
  z.strictObject({ kind: z.literal('configuration'), latest: VersionedConfiguration }),
  z.strictObject({ kind: z.literal('enforcement'), enforcement: ConfigurationEnforcement }),
  z.strictObject({ kind: z.literal('changed') }),
  z.strictObject({ kind: z.literal('declaration'), source: z.string().optional() }),
  z.strictObject({
    kind: z.literal('rollout'),
    /** Undefined if there was none. */
    rollout: Rollout.pick({ phase: true, targetVersion: true }).optional(),
  }),
  z.strictObject({
    kind: z.literal('failure'),
    failure: z.strictObject({ kind: z.enum(errorKinds), detail: z.string() }),
  }),
]);
type ControlResponse = z.infer<typeof ControlResponse>;

export default ControlResponse;
