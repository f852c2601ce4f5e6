import { AsyncLocalStorage } from 'node:async_hooks';

/** A VM whose code runs on a `SimulatedClock`. */
export default class SimulatedHost {
  /** The VM whose code is running. */
  static readonly current = new AsyncLocalStorage<SimulatedHost>();

  isFrozen = false;

  /** Whether its process has ended; nothing of it runs any more. */
  isDown = false;

  private readonly deferred: (() => void)[] = [];

  constructor(readonly name: string) {}

  /** Runs an action as this VM: once it is no longer frozen, and not at all if it has ended. */
  run(action: () => void): void {
    if (this.isDown) return;
    if (this.isFrozen) this.deferred.push(action);
    else SimulatedHost.current.run(this, action);
  }

  /** Ends a freeze, and runs what was due meanwhile. */
  thaw(): void {
    this.isFrozen = false;
    this.deferred.splice(0).forEach((action) => this.run(action));
  }
}
