import type VmMessage from '../messages/VmMessage';

/** Collects the responses of several VMs to one request. */
export default class PendingReports {
  readonly messages: VmMessage[] = [];

  /** Resolves once every VM has responded or disconnected, or when `end` is called. */
  readonly done: Promise<void>;

  private readonly awaited: Set<string>;

  private readonly disconnected: string[] = [];

  private resolve: (() => void) | undefined;

  /**
   * @param names - names of the VMs that received the request
   */
  constructor(names: readonly string[]) {
    this.awaited = new Set(names);
    this.done = new Promise((resolve) => {
      this.resolve = resolve;
    });
    this.settle();
  }

  /** Names of the VMs that have not responded, sorted. */
  get silent(): readonly string[] {
    return [...this.disconnected, ...this.awaited].sort();
  }

  /**
   * @param name - name of a VM
   * @returns whether its response is awaited
   */
  isAwaiting(name: string): boolean {
    return this.awaited.has(name);
  }

  /**
   * Adds the response of a VM. Only the first response of each VM counts.
   *
   * @param name - name of the VM
   * @param message - its response
   */
  addResponse(name: string, message: VmMessage): void {
    if (!this.awaited.delete(name)) return;
    this.messages.push(message);
    this.settle();
  }

  /**
   * Stops waiting for a VM whose last session has closed.
   *
   * @param name - name of the VM
   */
  handleDisconnect(name: string): void {
    if (!this.awaited.delete(name)) return;
    this.disconnected.push(name);
    this.settle();
  }

  /** Stops waiting for the remaining VMs. */
  end(): void {
    this.resolve?.();
  }

  private settle(): void {
    if (this.awaited.size === 0) this.resolve?.();
  }
}
