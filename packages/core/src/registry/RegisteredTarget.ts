import * as z from 'zod';

import HostPort from '../types/HostPort';
import VersionName from '../rollouts/VersionName';
import ExternalName from '../types/ExternalName';

/** Incarnation of a target, as announced by the target itself. */
const RegisteredTarget = z.strictObject({
  id: z.string().min(1).max(128),
  service: ExternalName,
  address: HostPort,
  dataCentre: ExternalName,
  /** Number of requests that the target serves concurrently. */
  slots: z.number().min(1),
  state: z.enum(['ready', 'draining']),
  /** Start of the incarnation, in milliseconds of the target's clock; orders those of one id. */
  bornAtMs: z.number(),
  /** Increases with each announcement of an incarnation. */
  sequence: z.number(),
  /** Remaining time for which the target is cold, counted from the announcement. */
  coldLeftMs: z.number().min(0),
  /** Version of its program, if it tells one. From version 5 of the messages on. */
  version: VersionName.optional(),
});
type RegisteredTarget = z.infer<typeof RegisteredTarget>;

export default RegisteredTarget;
