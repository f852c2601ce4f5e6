/** Waits for SIGTERM or SIGINT; later signals are ignored, so that they do not abort requests. */
export default async function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.on('SIGTERM', () => resolve());
    process.on('SIGINT', () => resolve());
  });
}
