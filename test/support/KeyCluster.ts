import findReplicas from '@guavayard/core/idempotency/findReplicas';
import Configuration from '@guavayard/core/types/Configuration';
import type VmMessage from '@guavayard/vm/messages/VmMessage';

import KeyNode from './KeyNode';

const REGION = 'munster';

function linkOf(a: KeyNode, b: KeyNode): string {
  return [a.identity.startId, b.identity.startId].sort().join(' ');
}

/** Entries of one region that keep idempotency keys, on a network that a test can cut. */
export default class KeyCluster {
  /** Added to the clock of every node. */
  offsetMs = 0;

  readonly windowMs = 60_000;

  nodes: KeyNode[] = [];

  /** Tells the messages that the network loses. */
  loses: ((from: KeyNode, to: KeyNode, message: VmMessage) => boolean) | undefined;

  private readonly cuts = new Set<string>();

  private starts = 0;

  private count = 0;

  /**
   * @param size - number of entries, spread over three data centres
   * @param version - version of the configuration; 0 for a new system
   */
  constructor(size: number, private readonly version = 0) {
    for (let index = 1; index <= size; index += 1) this.add(`entry-${index}`, index);
    this.publish();
  }

  /** Starts an entry; `publish` makes it a member. */
  add(name: string, index: number): KeyNode {
    this.starts += 1;
    const node = new KeyNode({
      name,
      region: REGION,
      dataCentre: `${REGION}-${(index % 3) + 1}`,
      startId: `start-${this.starts}`,
      roles: ['entry'],
      address: '127.0.0.1:1',
    }, this, {
      version: this.version,
      configuration: Configuration.parse({ dataCentres: { 'munster-1': { region: REGION, state: 'in' } } }),
    });
    this.nodes.push(node);
    return node;
  }

  /** The nodes that keep a key, its owner first. */
  replicasOf(key: string): KeyNode[] {
    const members = this.nodes.map(({ identity }) => identity);
    return findReplicas(key, members)
      .flatMap(({ startId }) => this.nodes.filter((node) => node.identity.startId === startId));
  }

  /** Takes nodes out of the membership, as control does when a lease has lapsed. */
  drop(...dropped: KeyNode[]): void {
    this.nodes = this.nodes.filter((node) => !dropped.includes(node));
    this.publish();
  }

  /** Tells every member the membership. */
  publish(): void {
    this.count += 1;
    const revision = { term: 1, count: this.count };
    const entries = this.nodes.map(({ identity }) => identity);
    this.nodes.forEach((node) => node.run(() => node.task.changeEntries(entries, revision, false)));
  }

  /** Moves the clock of every node. */
  advance(ms: number): void {
    this.offsetMs += ms;
  }

  /** Starts every entry again at once. */
  restart(): void {
    const before = this.nodes;
    this.close();
    this.nodes = [];
    before.forEach(({ identity }, index) => this.add(identity.name, index + 1));
    this.publish();
  }

  /** Waits until every member has every copy. */
  async settle(): Promise<void> {
    while (this.nodes.some((node) => !node.task.isSettled)) {
      // eslint-disable-next-line no-await-in-loop -- looks again after each turn of the event loop
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  /** Cuts the network between two nodes, in both directions. */
  cut(a: KeyNode, b: KeyNode): void {
    this.cuts.add(linkOf(a, b));
  }

  /** Mends every cut. */
  mend(): void {
    this.cuts.clear();
  }

  /** Carries a message. */
  send(from: KeyNode, startId: string, message: VmMessage): void {
    const copy = structuredClone(message);
    setImmediate(() => {
      const to = this.nodes.find((node) => node.identity.startId === startId);
      if (to === undefined || !from.isAlive || this.cuts.has(linkOf(from, to))) return;
      if (this.loses?.(from, to, copy) !== true) to.receive(from, copy);
    });
  }

  /** Ends all nodes. */
  close(): void {
    this.nodes.forEach((node) => node.kill());
  }
}
