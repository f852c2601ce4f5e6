import estimateLoad from '@guavayard/core/placement/estimateLoad';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';

import type Attempt from './Attempt';

/**
 * Creates the state of an attempt that has no response yet.
 *
 * @param target - the selected target
 * @param release - frees its slot
 * @param isNewConnection - whether no open connection to it is free that has carried a response
 * @param isHedge - whether another attempt is running
 * @param nowMs - monotonic clock
 * @returns the attempt
 */
export default function createAttempt(
  target: PlacedTarget,
  release: Attempt['release'],
  isNewConnection: boolean,
  isHedge: boolean,
  nowMs: number,
): Attempt {
  const { reading } = target;
  return {
    target,
    startedAtMs: nowMs,
    isHedge,
    load: reading === undefined ? undefined : estimateLoad(target, nowMs) - 1,
    slowness: reading?.slowness,
    loadAgeMs: reading === undefined ? undefined : nowMs - reading.atMs,
    wasSilent: target.unansweredProbes > 0 || target.probeWaiters !== undefined,
    isNewConnection,
    coldLeftMs: Math.max(0, target.coldUntilMs - nowMs),
    release,
    dispatch: undefined,
    writtenAtMs: undefined,
    status: undefined,
    headers: {},
    verdict: undefined,
    bufferedChunks: [],
    bufferedBytes: 0,
    isForwarding: false,
    isAborted: false,
    isSuperseded: false,
    isOver: false,
  };
}
