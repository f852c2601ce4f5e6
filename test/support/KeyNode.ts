import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';
import KeyTask from '@guavayard/vm/idempotency/KeyTask';
import type VmMessage from '@guavayard/vm/messages/VmMessage';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';
import type VmSession from '@guavayard/vm/session/VmSession';

import type KeyCluster from './KeyCluster';

/** One start of an entry that keeps idempotency keys, on the network of a cluster. */
export default class KeyNode {
  readonly task: KeyTask;

  /** Whether this node believes that it holds a lease. */
  hasLease = true;

  isAlive = true;

  /** Messages that wait while the node is frozen; undefined while it runs. */
  private frozen: (() => void)[] | undefined;

  constructor(
    readonly identity: VmIdentity,
    private readonly cluster: KeyCluster,
    configuration: VersionedConfiguration,
  ) {
    this.task = new KeyTask({
      identity,
      clock: () => this.now(),
      windowMs: cluster.windowMs,
      configuration: () => (this.hasLease ? configuration : undefined),
      send: (to, message) => cluster.send(this, to.startId, message),
    });
  }

  /** @returns the clock of this node, in milliseconds */
  now(): number {
    return performance.now() + this.cluster.offsetMs;
  }

  /** Takes a message of another node. */
  receive(from: KeyNode, message: VmMessage): void {
    this.run(() => this.task.onMessage({ peer: from.identity } as VmSession, message));
  }

  /** Does something on this node, once it runs. */
  run(action: () => void): void {
    if (!this.isAlive) return;
    if (this.frozen === undefined) action();
    else this.frozen.push(action);
  }

  /** Stops the node from doing anything until `thaw`. */
  freeze(): void {
    this.frozen = [];
  }

  /** Does what has waited. */
  thaw(): void {
    const waiting = this.frozen ?? [];
    this.frozen = undefined;
    waiting.forEach((action) => this.run(action));
  }

  /** Ends the node for ever. */
  kill(): void {
    this.isAlive = false;
    this.task.close();
  }
}
