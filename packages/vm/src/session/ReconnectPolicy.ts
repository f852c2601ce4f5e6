const MIN_DELAY_MS = 50;
const MAX_DELAY_MS = 500;
/** Attempts that are made in quick succession, as the VM may be about to start. */
const QUICK_ATTEMPTS = 20;
const MAX_QUICK_DELAY_MS = 100;
/**
 * Time for the first connections, in milliseconds. A VM without power does not respond, and the
 * kernel sends the opening packet again after a second only, when the VM may long be running.
 */
const CONNECT_TIMEOUT_MS = 200;
/** Attempts until the timeout grows, for VMs behind links with longer round trips. */
const SHORT_TIMEOUTS = 5;
/** The handshake timeout bounds the whole attempt, so a longer timeout has no effect. */
const MAX_CONNECT_TIMEOUT_MS = 1600;

/** Decides how long one attempt to connect to a VM may take, and when the next one is made. */
export default class ReconnectPolicy {
  private attempts = 0;

  private delayMs = MIN_DELAY_MS;

  /** Longest time until the connection of the present attempt is established, in milliseconds. */
  get connectTimeoutMs(): number {
    const doublings = Math.max(0, this.attempts - SHORT_TIMEOUTS);
    return Math.min(MAX_CONNECT_TIMEOUT_MS, CONNECT_TIMEOUT_MS * 2 ** doublings);
  }

  /** Records a session that was opened: the next loss is a new one. */
  recordOpened(): void {
    this.attempts = 0;
    this.delayMs = MIN_DELAY_MS;
  }

  /**
   * Records an attempt that failed or a session that was lost.
   *
   * @param hasTimedOut - whether no connection was established within the timeout; the next
   *   attempt is then made at once
   * @returns the delay until the next attempt, in milliseconds
   */
  recordLoss(hasTimedOut: boolean): number {
    this.attempts += 1;
    if (hasTimedOut) return 0;
    const { delayMs } = this;
    const maxMs = this.attempts < QUICK_ATTEMPTS ? MAX_QUICK_DELAY_MS : MAX_DELAY_MS;
    this.delayMs = Math.min(delayMs * 2, maxMs);
    return delayMs;
  }
}
