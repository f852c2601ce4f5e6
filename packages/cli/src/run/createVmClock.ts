import { uptime } from 'node:os';
import { performance } from 'node:perf_hooks';

import createElapsedClock from '@guavayard/core/clock/createElapsedClock';
import type Clock from '@guavayard/core/types/Clock';

const MS_PER_SECOND = 1000;

/** @returns a monotonic clock of this VM that counts the time for which it was suspended */
export default function createVmClock(): Clock {
  return createElapsedClock({
    steadyMs: () => performance.now(),
    timeOfDayMs: () => Date.now(),
    uptimeMs: () => uptime() * MS_PER_SECOND,
  });
}
