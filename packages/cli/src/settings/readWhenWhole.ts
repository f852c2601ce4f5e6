import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

import type { Result } from 'ts-results';

/** Longest time for which a file may be missing or not whole, in milliseconds. */
const RETRY_LIMIT_MS = 2000;
const RETRY_INTERVAL_MS = 100;

/**
 * Reads files that may be missing or not whole for a moment, as they are being written.
 *
 * @param read - reads and checks the files
 * @param onRetry - told the reason when files are about to be read again for the first time
 * @returns the contents, or the last error once the files have had two seconds to become whole
 */
export default async function readWhenWhole<Contents>(
  read: () => Promise<Result<Contents, string>>,
  onRetry: (reason: string) => void,
): Promise<Result<Contents, string>> {
  const endsAtMs = performance.now() + RETRY_LIMIT_MS;
  let contents = await read();
  if (contents.err) onRetry(contents.val);
  while (contents.err && performance.now() < endsAtMs) {
    // eslint-disable-next-line no-await-in-loop -- attempts are sequential
    await sleep(RETRY_INTERVAL_MS);
    // eslint-disable-next-line no-await-in-loop
    contents = await read();
  }
  return contents;
}
