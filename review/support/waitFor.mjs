import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

/**
 * Waits until a check succeeds.
 *
 * @param check - returns whether it does
 * @param limitMs - longest time to wait
 * @returns whether it succeeded in time
 */
export default async function waitFor(check, limitMs) {
  const endMs = performance.now() + limitMs;
  // eslint-disable-next-line no-await-in-loop -- one check after the other
  while (!await check()) {
    if (performance.now() > endMs) return false;
    // eslint-disable-next-line no-await-in-loop
    await sleep(100);
  }
  return true;
}
