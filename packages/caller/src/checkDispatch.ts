import { Ok, type Result } from 'ts-results';

import fail from '@guavayard/core/errors/fail';
import type Failure from '@guavayard/core/errors/Failure';
import type KnownTarget from '@guavayard/core/types/KnownTarget';
import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

import type CallerRequest from './CallerRequest';
import matchRequest from './matchRequest';

/**
 * Checks, at dispatch, whether the configuration still allows a request to go to its target. The
 * configuration may have changed while the request was queued.
 *
 * @param current - the configuration in force, undefined while requests may not be dispatched
 * @param request - the caller's request
 * @param target - the assigned target
 * @returns nothing, or the failure if the request may not be dispatched
 */
export default function checkDispatch(
  current: VersionedConfiguration | undefined,
  request: CallerRequest,
  target: KnownTarget,
): Result<undefined, Failure> {
  if (current === undefined) return fail('leaseLapsed');
  if (current.version === request.version) return Ok(undefined);
  const match = matchRequest(current.configuration, request.req);
  if (match.err) return match;
  const dataCentre = current.configuration.dataCentres[target.dataCentre];
  const { homeRegions, serviceName } = match.val;
  const isAtHome = homeRegions?.includes(dataCentre?.region ?? '') ?? true;
  if (dataCentre?.state === 'in' && isAtHome && serviceName === target.service) return Ok(undefined);
  return fail('noTarget', 'the configuration changed while the request waited');
}
