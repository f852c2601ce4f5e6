import type Failure from '@guavayard/core/errors/Failure';

import understandsTenants from '../registry/understandsTenants';
import type VmSession from '../session/VmSession';

/** Kinds that older builds do not know; they end the session over a message that names one. */
const KINDS_OF_TENANTS: ReadonlySet<Failure['kind']> = new Set(['quotaExceeded', 'keysUnproven']);

/**
 * Describes a failure to the entry that has relayed the request.
 *
 * @param failure - why the request failed
 * @param session - session with that entry
 * @returns the failure, of a kind that the entry knows and that says as little about what has run
 */
export default function adaptFailure(failure: Failure, session: VmSession): Failure {
  if (!KINDS_OF_TENANTS.has(failure.kind) || understandsTenants(session)) return failure;
  return { ...failure, kind: 'overloaded' };
}
