import type StopWindow from './StopWindow';

/**
 * Returns whether a request may be accepted during a planned stop. Once the balancer has noticed
 * the stop, only requests that end before the process does are accepted: others would be cut off,
 * and their callers could not tell whether they have run.
 *
 * @param stop - times of the stop
 * @param deadlineMs - when the request has its response at the latest
 * @param nowMs - monotonic clock
 * @returns false if the request should be refused
 */
export default function mayFinishBeforeStop(
  stop: StopWindow,
  deadlineMs: number,
  nowMs: number,
): boolean {
  return nowMs < stop.acceptsAllUntilMs || deadlineMs <= stop.endsAtMs;
}
