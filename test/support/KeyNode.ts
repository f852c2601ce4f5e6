import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';
import KeyTask from '@guavayard/vm/idempotency/KeyTask';
import type VmMessage from '@guavayard/vm/messages/VmMessage';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';
import type VmSession from '@guavayard/vm/session/VmSession';

import type KeyCluster from './KeyCluster';

/** One incarnation of an entry that stores idempotency keys, on the network of a `KeyCluster`. */
export default class KeyNode {
  readonly task: KeyTask;

  /** Whether this node believes that it holds a lease. */
  hasLease = true;

  isAlive = true;

  /** Actions deferred until the node resumes; undefined while it is not paused. */
  private deferredActions: (() => void)[] | undefined;

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

  /** @returns the time of the simulated clock of this node, in milliseconds */
  now(): number {
    return performance.now() + this.cluster.clockOffsetMs;
  }

  /** Delivers a message from another node. */
  receive(from: KeyNode, message: VmMessage): void {
    this.run(() => this.task.onMessage({ peer: from.identity } as VmSession, message));
  }

  /** Executes an action on this node, deferred until it resumes if it is paused. */
  run(action: () => void): void {
    if (!this.isAlive) return;
    if (this.deferredActions === undefined) action();
    else this.deferredActions.push(action);
  }

  /** Suspends the node as SIGSTOP suspends a process: actions are deferred until `resume`. */
  pause(): void {
    this.deferredActions = [];
  }

  /** Executes the deferred actions and ends the pause. */
  resume(): void {
    const actions = this.deferredActions ?? [];
    this.deferredActions = undefined;
    actions.forEach((action) => this.run(action));
  }

  /** Stops the node permanently, as if its process had been killed. */
  kill(): void {
    this.isAlive = false;
    this.task.close();
  }
}
