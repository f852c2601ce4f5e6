import estimateLoad from '@guavayard/core/placement/estimateLoad';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';

import type Attempt from './Attempt';

/**
 * @param target - the target that was chosen
 * @param release - frees its slot
 * @param nowMs - monotonic clock
 * @returns an attempt that has no answer yet
 */
export default function createAttempt(
  target: PlacedTarget,
  release: Attempt['release'],
  nowMs: number,
): Attempt {
  const { reading } = target;
  return {
    target,
    startedAtMs: nowMs,
    load: reading === undefined ? undefined : estimateLoad(target, nowMs) - 1,
    slowness: reading?.slowness,
    loadAgeMs: reading === undefined ? undefined : nowMs - reading.atMs,
    release,
    status: undefined,
    headers: {},
    verdict: undefined,
    held: [],
    heldBytes: 0,
    isForwarding: false,
    isAborted: false,
    isOver: false,
  };
}
