/**
 * Repeats an action at an interval, each time after what has arrived before has been read. When a
 * process that stood still goes on, its timers would run first, and act on silence that there
 * has not been.
 *
 * @param action - the action; it may run once more after the timer was cleared
 * @param intervalMs - time between two runs, in milliseconds
 * @returns the timer
 */
export default function repeatAfterInput(action: () => void, intervalMs: number): NodeJS.Timeout {
  return setInterval(() => setImmediate(action), intervalMs);
}
