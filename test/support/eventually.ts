const POLL_INTERVAL_MS = 20;
/** Far above every time that a test expects, so that only a hang reaches it. */
const TIMEOUT_MS = 30_000;

/**
 * Polls a probe until it returns a value.
 *
 * @param description - what is waited for; used in the error message
 * @param probe - returns the value, or undefined while it is not available
 * @returns the value
 * @throws if the probe returns no value within 30 seconds
 */
export default async function eventually<Value>(
  description: string,
  probe: () => Promise<Value | undefined>,
): Promise<Value> {
  const endMs = Date.now() + TIMEOUT_MS;
  while (Date.now() < endMs) {
    // eslint-disable-next-line no-await-in-loop -- each probe starts after the previous one
    const value = await probe();
    if (value !== undefined) return value;
    // eslint-disable-next-line no-await-in-loop
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MS);
    });
  }
  throw new Error(`timed out while waiting for ${description}`);
}
