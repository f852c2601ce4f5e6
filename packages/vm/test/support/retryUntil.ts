import { setTimeout as sleep } from 'node:timers/promises';

const LIMIT_MS = 20_000;
const PAUSE_MS = 25;

/**
 * Runs a check until it holds.
 *
 * @param check - throws as long as it does not hold
 * @throws what the check threw last, if it does not hold in time
 */
export default async function retryUntil(check: () => Promise<void> | void): Promise<void> {
  const endMs = Date.now() + LIMIT_MS;
  for (;;) {
    try {
      // eslint-disable-next-line no-await-in-loop -- each check follows the one before
      await check();
      return;
    } catch (err) {
      if (Date.now() > endMs) throw err;
      // eslint-disable-next-line no-await-in-loop
      await sleep(PAUSE_MS);
    }
  }
}
