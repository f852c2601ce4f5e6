import findReplicas from '@guavayard/core/idempotency/findReplicas';
import Configuration from '@guavayard/core/types/Configuration';
import type VmMessage from '@guavayard/vm/messages/VmMessage';

import KeyNode from './KeyNode';

const REGION = 'munster';

function linkKey(a: KeyNode, b: KeyNode): string {
  return [a.identity.startId, b.identity.startId].sort().join(' ');
}

/** Entries of one region that store idempotency keys, on a simulated network with faults. */
export default class KeyCluster {
  /** Added to the clock of every node, in milliseconds. */
  clockOffsetMs = 0;

  readonly windowMs = 60_000;

  nodes: KeyNode[] = [];

  /** Returns whether the network drops a message; undefined while none are dropped. */
  shouldDropMessage: ((from: KeyNode, to: KeyNode, message: VmMessage) => boolean) | undefined;

  private readonly cutLinks = new Set<string>();

  private startCount = 0;

  private revisionCount = 0;

  /**
   * @param size - number of entries, distributed over three data centres
   * @param version - version of the configuration; 0 for a new system
   */
  constructor(size: number, private readonly version = 0) {
    for (let index = 1; index <= size; index += 1) this.add(`entry-${index}`, index);
    this.publish();
  }

  /** Starts an entry, which becomes a member at the next `publish`. */
  add(name: string, index: number): KeyNode {
    this.startCount += 1;
    const node = new KeyNode({
      name,
      region: REGION,
      dataCentre: `${REGION}-${(index % 3) + 1}`,
      startId: `start-${this.startCount}`,
      roles: ['entry'],
      address: '127.0.0.1:1',
    }, this, {
      version: this.version,
      configuration: Configuration.parse({ dataCentres: { 'munster-1': { region: REGION, state: 'in' } } }),
    });
    this.nodes.push(node);
    return node;
  }

  /** Returns the nodes that store a key, its owner first. */
  replicasOf(key: string): KeyNode[] {
    const members = this.nodes.map(({ identity }) => identity);
    return findReplicas(key, members)
      .flatMap(({ startId }) => this.nodes.filter((node) => node.identity.startId === startId));
  }

  /** Removes nodes from the membership, as control does when a lease has expired. */
  removeMembers(...removed: KeyNode[]): void {
    this.nodes = this.nodes.filter((node) => !removed.includes(node));
    this.publish();
  }

  /** Sends the current membership to every member. */
  publish(): void {
    this.revisionCount += 1;
    const revision = { term: 1, count: this.revisionCount };
    const entries = this.nodes.map(({ identity }) => identity);
    this.nodes.forEach((node) => node.run(() => node.task.updateEntries(entries, revision, false)));
  }

  /** Advances the clock of every node. */
  advanceClock(ms: number): void {
    this.clockOffsetMs += ms;
  }

  /** Kills all entries and starts new incarnations of them at the same time. */
  restartAll(): void {
    const previous = this.nodes;
    this.close();
    this.nodes = [];
    previous.forEach(({ identity }, index) => this.add(identity.name, index + 1));
    this.publish();
  }

  /** Waits until every member has all copies that it has to store. */
  async waitUntilSettled(): Promise<void> {
    while (this.nodes.some((node) => !node.task.isSettled)) {
      // eslint-disable-next-line no-await-in-loop -- checks again after each turn of the event loop
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  /** Partitions two nodes from each other, in both directions. */
  cut(a: KeyNode, b: KeyNode): void {
    this.cutLinks.add(linkKey(a, b));
  }

  /** Restores all links. */
  heal(): void {
    this.cutLinks.clear();
  }

  /** Delivers a message in a later turn of the event loop, unless the network drops it. */
  send(from: KeyNode, startId: string, message: VmMessage): void {
    const copy = structuredClone(message);
    setImmediate(() => {
      const to = this.nodes.find((node) => node.identity.startId === startId);
      if (to === undefined || !from.isAlive || this.cutLinks.has(linkKey(from, to))) return;
      if (this.shouldDropMessage?.(from, to, copy) !== true) to.receive(from, copy);
    });
  }

  /** Kills all nodes. */
  close(): void {
    this.nodes.forEach((node) => node.kill());
  }
}
