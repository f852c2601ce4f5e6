const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/** Lengths of the windows for burn rates, in milliseconds, shortest first. */
const burnWindows = [5 * MINUTE_MS, 30 * MINUTE_MS, HOUR_MS, 6 * HOUR_MS, 3 * DAY_MS] as const;

export default burnWindows;
