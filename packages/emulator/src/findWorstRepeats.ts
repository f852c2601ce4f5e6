interface Arrival {
  /** Id of the request. */
  readonly id: string;
  readonly atMs: number;
}

interface RepeatBounds {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMs: number;
}

interface CountedWindow {
  /** Arrivals beyond the first of each request. */
  readonly repeats: number;
  /** How many the rule allows in this window. */
  readonly allowed: number;
}

/** Counts just after an event are taken this much later, in milliseconds. */
const JUST_AFTER_MS = 1e-6;

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
 * Finds the window in which the arrivals at a service go furthest beyond the retry budget of all
 * entries. The requests are those of the window, of the one before or of the one half before.
 *
 * @param sentAtMs - times at which callers sent requests to the service
 * @param arrivals - what arrived at its targets, in any order
 * @param bounds - the declared bounds
 * @returns the counts of that window
 */
export default function findWorstRepeats(
  sentAtMs: readonly number[],
  arrivals: readonly Arrival[],
  { ratio, slack, windowMs }: RepeatBounds,
): CountedWindow {
  const sent = [...sentAtMs].sort((a, b) => a - b);
  const seen = new Set<string>();
  const repeats = [...arrivals].sort((a, b) => a.atMs - b.atMs).filter(({ id }) => {
    const isRepeat = seen.has(id);
    seen.add(id);
    return isRepeat;
  }).map(({ atMs }) => atMs);
  const count = (timesMs: readonly number[], fromMs: number): number => (
    countBefore(timesMs, fromMs + windowMs) - countBefore(timesMs, fromMs));
  // Counts change where a window begins with or after an event, or ends before or after one.
  const starts = [...sent, ...repeats].flatMap((atMs) => [atMs, atMs - windowMs])
    .flatMap((atMs) => [atMs, atMs + JUST_AFTER_MS]);
  return starts.map((fromMs) => {
    const requests = Math.max(
      count(sent, fromMs),
      count(sent, fromMs - windowMs),
      count(sent, fromMs - windowMs / 2),
    );
    return { repeats: count(repeats, fromMs), allowed: ratio * requests + slack };
  }).reduce((worst, window) => (
    window.repeats - window.allowed > worst.repeats - worst.allowed ? window : worst
  ), { repeats: 0, allowed: slack });
}
