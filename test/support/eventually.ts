const POLL_INTERVAL_MS = 20;
/** Far above every target, so that only a hang ends in it. */
const LIMIT_MS = 30_000;

/**
 * Waits until a probe gives a value.
 *
 * @param what - what is waited for, for the message
 * @param probe - gives the value, or undefined while it is not there
 * @returns the value
 * @throws if it does not come
 */
export default async function eventually<Value>(
  what: string,
  probe: () => Promise<Value | undefined>,
): Promise<Value> {
  const endMs = Date.now() + LIMIT_MS;
  while (Date.now() < endMs) {
    // eslint-disable-next-line no-await-in-loop -- each probe follows the one before
    const value = await probe();
    if (value !== undefined) return value;
    // eslint-disable-next-line no-await-in-loop
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MS);
    });
  }
  throw new Error(`waited in vain for ${what}`);
}
