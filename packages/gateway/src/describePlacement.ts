import type GatewayRequest from './GatewayRequest';
import type PlacementRequest from './PlacementRequest';

/**
 * Describes which targets an attempt of a request may be sent to.
 *
 * @param request - the request
 * @param triedIds - ids of the targets of earlier attempts
 * @returns the part of the placement that all attempts have in common
 */
export default function describePlacement(
  request: GatewayRequest,
  triedIds: readonly string[],
): Pick<PlacementRequest, 'service' | 'homeRegions' | 'triedIds' | 'priority' | 'targetLatencyMs' | 'deadlineMs'> {
  const { service, route, deadlineMs } = request;
  return {
    service,
    homeRegions: route.homeRegions,
    triedIds,
    priority: route.priority,
    targetLatencyMs: route.targetLatencyMs,
    deadlineMs,
  };
}
