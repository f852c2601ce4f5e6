import type Clock from '../types/Clock';
import type ClockSources from './ClockSources';

/**
 * Shortest suspend that is counted, in milliseconds. It covers the resolution of the uptime and the
 * time between two readings.
 */
const MIN_SUSPEND_MS = 20;

/**
 * Creates a monotonic clock that counts the time for which the VM was suspended, so that what was
 * granted for a time runs out with it. A reading of the time of day is cheap and shows that a
 * suspend is possible; the uptime then tells it from a step of the time of day.
 *
 * @param sources - the clocks of the VM
 * @returns the clock
 */
export default function createElapsedClock(sources: ClockSources): Clock {
  const uptimeStartMs = sources.uptimeMs() - sources.steadyMs();
  let checkedOffsetMs = sources.timeOfDayMs() - sources.steadyMs();
  let suspendedMs = 0;
  return () => {
    const steadyMs = sources.steadyMs();
    const offsetMs = sources.timeOfDayMs() - steadyMs;
    if (Math.abs(offsetMs - checkedOffsetMs) >= MIN_SUSPEND_MS) {
      checkedOffsetMs = offsetMs;
      const totalMs = sources.uptimeMs() - steadyMs - uptimeStartMs;
      if (totalMs - suspendedMs >= MIN_SUSPEND_MS) suspendedMs = totalMs;
    }
    return steadyMs + suspendedMs;
  };
}
