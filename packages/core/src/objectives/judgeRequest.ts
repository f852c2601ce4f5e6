import errorTable from '../errors/errorTable';
import type ServiceObjectives from '../types/ServiceObjectives';
import type FinishedRequest from './FinishedRequest';
import type Judgement from './Judgement';

const FIRST_FAULT_STATUS = 500;

/**
 * Judges one request. A request that its caller got wrong or gave up says nothing about the
 * service, and one that another entry answers is counted there.
 *
 * @param request - the request
 * @param objectives - objectives of its service, if it has any
 * @returns what it means for the objectives
 */
export default function judgeRequest(
  request: FinishedRequest,
  objectives: ServiceObjectives | undefined,
): Judgement {
  const { failure, isRelayed } = request.record;
  if (failure !== undefined) {
    if (errorTable[failure].status < FIRST_FAULT_STATUS) return { kind: 'ignored' };
    return { kind: 'unavailable', cause: failure };
  }
  if (isRelayed || !request.isComplete) return { kind: 'ignored' };
  if (request.status >= FIRST_FAULT_STATUS) return { kind: 'unavailable', cause: 'targetStatus' };
  const thresholdMs = objectives?.latency?.thresholdMs ?? Infinity;
  return request.latencyMs > thresholdMs ? { kind: 'slow', cause: 'slow' } : { kind: 'good' };
}
