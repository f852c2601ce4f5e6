import type VirtualTime from './VirtualTime';

/** Interval at which a blocked session tries again, in milliseconds. */
const RETRY_MS = 5;

interface ModelSessionOptions {
  readonly time: VirtualTime;
  /** Delay of the next message, in milliseconds. */
  readonly delayMs: () => number;
  /** Whether messages of a direction wait, as a link is cut or the receiver is frozen. */
  readonly isBlocked: (direction: 0 | 1) => boolean;
}

interface QueuedMessage {
  readonly atMs: number;
  readonly run: () => void;
}

/** A session between two VMs: messages of each direction arrive late and in order, or never. */
export default class ModelSession {
  isOpen = true;

  private readonly queues: readonly [QueuedMessage[], QueuedMessage[]] = [[], []];

  constructor(private readonly options: ModelSessionOptions) {}

  /** Sends a message: runs what the receiver does with it when it arrives. */
  send(direction: 0 | 1, run: () => void): void {
    const { time, delayMs } = this.options;
    const queue = this.queues[direction];
    const delay = delayMs();
    queue.push({ atMs: Math.max(time.nowMs + delay, queue.at(-1)?.atMs ?? 0), run });
    time.after(delay, () => this.pump(direction));
  }

  close(): void {
    this.isOpen = false;
  }

  private pump(direction: 0 | 1): void {
    const { time, isBlocked } = this.options;
    const queue = this.queues[direction];
    for (let [next] = queue; this.isOpen && next !== undefined; [next] = queue) {
      const waitMs = isBlocked(direction) ? RETRY_MS : next.atMs - time.nowMs;
      if (waitMs > 0) {
        time.after(waitMs, () => this.pump(direction));
        return;
      }
      queue.shift();
      next.run();
    }
  }
}
