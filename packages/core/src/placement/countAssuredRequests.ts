/** Parts of a window in each of which a window of the limit may begin; an even number. */
const PARTS = 40;

/** @returns how many of the sorted times lie before a time */
function countBefore(timesMs: readonly number[], endMs: number): number {
  let low = 0;
  let high = timesMs.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((timesMs[middle] ?? Infinity) < endMs) low = middle + 1;
    else high = middle;
  }
  return low;
}

/**
 * Counts the requests that count for a retry that is sent now, in whichever window it is counted:
 * those of that window, of the one before, or of the one half a window before, where they are most.
 *
 * @param timesMs - times of the requests of the last two windows, in order
 * @param nowMs - monotonic clock
 * @param windowMs - length of a window
 * @returns a lower bound for the requests of all windows that include this moment
 */
export default function countAssuredRequests(
  timesMs: readonly number[],
  nowMs: number,
  windowMs: number,
): number {
  const counts = Array.from({ length: 2 * PARTS }, (_, part) => (
    countBefore(timesMs, nowMs - (part * windowMs) / PARTS)));
  const countUntil = (part: number): number => (
    part < 0 ? timesMs.length : counts[part] ?? 0);
  let fewest = timesMs.length;
  for (let part = 0; part < PARTS; part += 1) {
    fewest = Math.min(fewest, Math.max(
      timesMs.length - countUntil(part),
      countUntil(part + 1 - PARTS / 2) - countUntil(part + PARTS / 2),
      countUntil(part + 1) - countUntil(part + PARTS),
    ));
  }
  return fewest;
}
