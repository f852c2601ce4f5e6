import { Ok, type Result } from 'ts-results';

import fail from '../errors/fail';
import type Failure from '../errors/Failure';
import findService from '../registry/findService';
import type RegistryState from '../registry/RegistryState';
import findBaseVersions from './findBaseVersions';
import findRollout from './findRollout';
import isUnderWay from './isUnderWay';
import type RolloutOrder from './RolloutOrder';

/**
 * Time for which a further order of the same version is the same order, sent again, in ms.
 * Operators resend for 4 s; the rest covers delays.
 */
const RESEND_MS = 10_000;

/**
 * Decides on an order. An accepted one is never refused when it is sent again.
 *
 * @param state - the registry, with all that was accepted before
 * @param order - the order
 * @param sinceLastOrderMs - time since the last order for the service, in milliseconds; as long as
 *   it is known
 * @returns `start` for a new roll-out, `accepted` if it was accepted before, `rolloutInProgress`,
 *   or `rolloutRefused`
 */
export default function decideRolloutOrder(
  state: RegistryState,
  { service, targetVersion }: Pick<RolloutOrder, 'service' | 'targetVersion'>,
  sinceLastOrderMs: number,
): Result<'start' | 'accepted', Failure> {
  const last = findRollout(state, service);
  if (last?.targetVersion === targetVersion) {
    const isRepeated = last.phase !== 'rolledBack' || sinceLastOrderMs < RESEND_MS;
    if (isRepeated) return Ok('accepted');
  }
  if (last !== undefined && isUnderWay(last)) {
    return fail('rolloutInProgress', `version "${last.targetVersion}" is brought in`);
  }
  if (findService(state.declaration, service) === undefined) {
    return fail('rolloutRefused', `no service "${service}"`);
  }
  if (findBaseVersions(state, service, targetVersion).length === 0) {
    return fail('rolloutRefused', 'no target of another version is registered');
  }
  return Ok('start');
}
