import type RegisteredTarget from '../registry/RegisteredTarget';
import rankMember from '../ownership/rankMember';
import type PlacedTarget from './PlacedTarget';

/**
 * Creates the state of a target that this entry has not sent anything to.
 *
 * @param record - the target as control registered it
 * @param region - region of its data centre
 * @param entryName - name of this entry
 * @returns the initial state
 */
export default function createPlacedTarget(
  record: RegisteredTarget,
  region: string,
  entryName: string,
): PlacedTarget {
  return {
    record,
    region,
    affinity: rankMember(record.id, entryName),
    inFlight: new Set(),
    reading: undefined,
    coldUntilMs: -Infinity,
    recentSends: [],
    ejectedUntilMs: -Infinity,
    ejections: 0,
    unreachableUntilMs: -Infinity,
    failureShare: 0,
    rejectShare: 0,
    rejectShareAtMs: 0,
    requestLimit: undefined,
    rest: undefined,
    leaving: undefined,
    isUnhealthy: false,
    unansweredProbes: 0,
    silentProbes: 0,
    probeSentAtMs: undefined,
    probedAtMs: -Infinity,
    probeDueSinceMs: -Infinity,
    lastAnswerAtMs: -Infinity,
    lastSentAtMs: -Infinity,
    lastAskedAtMs: -Infinity,
    idleTimeoutMs: undefined,
    probeWaiters: undefined,
  };
}
