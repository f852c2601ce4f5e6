import type RegisteredTarget from '../registry/RegisteredTarget';
import type PlacedTarget from './PlacedTarget';

/**
 * @param record - the target as control registered it
 * @param region - region of its data centre
 * @returns a target that this entry has not sent anything to
 */
export default function createPlacedTarget(
  record: RegisteredTarget,
  region: string,
): PlacedTarget {
  return {
    record,
    region,
    inFlight: new Set(),
    reading: undefined,
    coldUntilMs: -Infinity,
    coldSends: [],
    ejectedUntilMs: -Infinity,
    ejections: 0,
    failureShare: 0,
    isUnwell: false,
    silentProbes: 0,
    probeWaiters: undefined,
  };
}
