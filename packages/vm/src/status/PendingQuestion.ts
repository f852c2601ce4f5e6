import type VmMessage from '../messages/VmMessage';

/** A question to several VMs whose answers are awaited. */
export default class PendingQuestion {
  readonly messages: VmMessage[] = [];

  /** Settles once every VM has answered or is gone, or at `end`. */
  readonly done: Promise<void>;

  private readonly awaited: Set<string>;

  private readonly gone: string[] = [];

  private resolve: (() => void) | undefined;

  /**
   * @param names - the VMs that were asked
   */
  constructor(names: readonly string[]) {
    this.awaited = new Set(names);
    this.done = new Promise((resolve) => {
      this.resolve = resolve;
    });
    this.settle();
  }

  /** Names of the VMs that have not answered. */
  get silent(): readonly string[] {
    return [...this.gone, ...this.awaited].sort();
  }

  /**
   * Takes the answer of a VM; a second one is dropped.
   *
   * @param name - the VM
   * @param message - its answer
   */
  answer(name: string, message: VmMessage): void {
    if (!this.awaited.delete(name)) return;
    this.messages.push(message);
    this.settle();
  }

  /**
   * Stops waiting for a VM whose session is over.
   *
   * @param name - the VM
   */
  giveUp(name: string): void {
    if (!this.awaited.delete(name)) return;
    this.gone.push(name);
    this.settle();
  }

  /** Stops waiting. */
  end(): void {
    this.resolve?.();
  }

  private settle(): void {
    if (this.awaited.size === 0) this.resolve?.();
  }
}
