import VmHub from '../../../src/session/VmHub';
import type VmSession from '../../../src/session/VmSession';
import createPeer from '../createPeer';
import type SimulatedClock from './SimulatedClock';
import SimulatedHost from './SimulatedHost';
import type SimulatedNetwork from './SimulatedNetwork';

const KEY = 'the key of all VMs';

/** One process of a VM that has nothing but sessions; it records what its handlers hear. */
export default class SessionVm {
  readonly host: SimulatedHost;

  readonly hub: VmHub;

  /** Sessions that have opened and not closed, as its handler hears it. */
  readonly open = new Set<VmSession>();

  /** Texts of the messages that have arrived. */
  readonly received: string[] = [];

  /** Names of the VMs that its log says are connected. */
  readonly connected = new Set<string>();

  readonly mistakes: string[] = [];

  private readonly closed = new Set<VmSession>();

  constructor(
    readonly name: string,
    readonly startId: string,
    network: SimulatedNetwork,
    clock: SimulatedClock,
  ) {
    this.host = new SimulatedHost(name);
    this.hub = SimulatedHost.current.run(this.host, () => new VmHub(KEY, createPeer(name, ['control'], startId), {
      transport: network.transportOf(this.host, name),
      log: {
        info: (fields: { peer: string }, text: string) => this.recordLine(fields.peer, text),
      } as never,
      onError: (err) => this.mistakes.push(`${clock.nowMs}: ${err.message}`),
    }));
    this.hub.addHandler({
      onOpen: (session) => {
        if (this.open.has(session) || this.closed.has(session)) this.fail('a session opens twice');
        this.open.add(session);
      },
      onMessage: (session, message) => {
        if (!this.open.has(session)) this.fail('a message of a session that is not open');
        if (message.kind === 'left') this.received.push(message.replica);
      },
      onClose: (session) => {
        if (this.closed.has(session)) this.fail('a session closes twice');
        this.closed.add(session);
        this.open.delete(session);
      },
    });
  }

  /** Runs an action as this process. */
  act<Result>(action: () => Result): Result {
    return SimulatedHost.current.run(this.host, action);
  }

  /** Start ids of a VM with which a session is open. */
  startsOf(name: string): string[] {
    return [...this.open].flatMap(({ peer }) => (peer?.name === name ? [peer.startId] : []));
  }

  private recordLine(peer: string, text: string): void {
    if (text === 'control VM connected') this.connected.add(peer);
    else this.connected.delete(peer);
  }

  private fail(text: string): void {
    this.mistakes.push(`${this.startId} of ${this.name}: ${text}`);
  }
}
