import { setTimeout as sleep } from 'node:timers/promises';

const TIMEOUT_MS = 20_000;
const RETRY_DELAY_MS = 25;

/**
 * Retries a check until it passes.
 *
 * @param check - throws as long as the expected state is not reached
 * @throws the last error of the check, if it does not pass in time
 */
export default async function retryUntil(check: () => Promise<void> | void): Promise<void> {
  const endMs = Date.now() + TIMEOUT_MS;
  for (;;) {
    try {
      // eslint-disable-next-line no-await-in-loop -- attempts are sequential
      await check();
      return;
    } catch (err) {
      if (Date.now() > endMs) throw err;
      // eslint-disable-next-line no-await-in-loop
      await sleep(RETRY_DELAY_MS);
    }
  }
}
