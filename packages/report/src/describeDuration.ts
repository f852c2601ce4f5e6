const SECOND_MS = 1000;
const MINUTE_MS = 60 * SECOND_MS;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/**
 * Formats a duration in the largest unit of which it has at least one, rounded down.
 *
 * @param durationMs - duration in milliseconds
 * @returns for example `5 min`, `6 h` or `3 d`
 */
export default function describeDuration(durationMs: number): string {
  if (durationMs >= DAY_MS) return `${Math.floor(durationMs / DAY_MS)} d`;
  if (durationMs >= HOUR_MS) return `${Math.floor(durationMs / HOUR_MS)} h`;
  if (durationMs >= MINUTE_MS) return `${Math.floor(durationMs / MINUTE_MS)} min`;
  return `${Math.floor(durationMs / SECOND_MS)} s`;
}
