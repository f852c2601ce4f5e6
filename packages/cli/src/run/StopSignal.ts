const SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Handles SIGTERM and SIGINT from the first moment of a process that runs a VM. */
export default class StopSignal {
  private isServing = false;

  private isReceived = false;

  private readonly waiters: (() => void)[] = [];

  /**
   * Handles the signals from now on. Until {@link startServing}, they end the process at once with
   * exit code 0, as it has accepted nothing.
   */
  install(): void {
    SIGNALS.forEach((signal) => process.on(signal, () => this.handle(signal)));
  }

  /** Leaves the reaction to a signal to {@link wait} from now on. */
  startServing(): void {
    this.isServing = true;
  }

  /** Waits for a signal; later ones are ignored, so that they do not abort requests. */
  async wait(): Promise<void> {
    if (this.isReceived) return undefined;
    return new Promise((resolve) => {
      this.waiters.push(resolve);
    });
  }

  private handle(signal: NodeJS.Signals): void {
    if (this.isServing) {
      this.isReceived = true;
      this.waiters.forEach((resolve) => resolve());
      return;
    }
    process.stderr.write(`guavayard: ${signal} during the start, nothing was served yet\n`);
    process.exit(0);
  }
}
