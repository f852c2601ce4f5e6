import type ServiceReachability from './ServiceReachability';

/** @returns the state of a service that this entry has not contacted yet */
export default function createServiceReachability(): ServiceReachability {
  return {
    unanswered: new Map(),
    slowestAnswerMs: 0,
    slowestAnswerAtMs: 0,
    lastAnswerAtMs: -Infinity,
    unreachableSinceMs: undefined,
  };
}
