/** Waits for SIGTERM or SIGINT; further signals are ignored, so they cannot cut requests. */
export default async function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.on('SIGTERM', () => resolve());
    process.on('SIGINT', () => resolve());
  });
}
