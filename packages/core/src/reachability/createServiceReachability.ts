import type ServiceReachability from './ServiceReachability';

/** @returns the state of a service that this entry has not contacted yet */
export default function createServiceReachability(): ServiceReachability {
  return { unanswered: new Map(), lastAnswerAtMs: -Infinity, unreachableSinceMs: undefined };
}
