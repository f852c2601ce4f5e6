import errorTable from '../errors/errorTable';
import type ServiceObjectives from '../types/ServiceObjectives';
import type FinishedRequest from './FinishedRequest';
import type RequestClassification from './RequestClassification';

const MIN_SERVER_ERROR = 500;

/**
 * Classifies a request with regard to the objectives of its service. Requests that failed because
 * of the caller or were abandoned by it are ignored, because they say nothing about the service;
 * relayed requests are ignored, because the entry that answers them counts them.
 *
 * @param request - the finished request
 * @param objectives - objectives of the service, if it has any
 * @returns the classification
 */
export default function classifyRequest(
  request: FinishedRequest,
  objectives: ServiceObjectives | undefined,
): RequestClassification {
  const { failure, isRelayed } = request.record;
  if (failure !== undefined) {
    if (errorTable[failure].status < MIN_SERVER_ERROR) return { kind: 'ignored' };
    return { kind: 'unavailable', cause: failure };
  }
  if (isRelayed || !request.isComplete) return { kind: 'ignored' };
  if (request.status >= MIN_SERVER_ERROR) return { kind: 'unavailable', cause: 'targetStatus' };
  const thresholdMs = objectives?.latency?.thresholdMs ?? Infinity;
  return request.latencyMs > thresholdMs ? { kind: 'slow', cause: 'slow' } : { kind: 'good' };
}
