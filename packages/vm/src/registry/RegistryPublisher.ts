import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmSession from '../session/VmSession';
import createVmLocation from './createVmLocation';
import type RegistryStore from './RegistryStore';
import type Roster from './Roster';
import type VmLocation from './VmLocation';

type CrashReport = Extract<VmMessage, { kind: 'crashReport' }>;

/**
 * Time for which changes are batched into one update, in milliseconds. Each update wakes every
 * entry, and the delay is small against the seconds that a change may take.
 */
const BATCH_MS = 50;

/** Publishes the changes that this replica applies to the subscribed entries. */
export default class RegistryPublisher implements SessionHandler {
  private readonly subscribers = new Set<VmSession>();

  /** Sessions that receive pulses, which say whether this replica is current. */
  private readonly pulseReceivers = new Set<VmSession>();

  private roster: Roster = { controls: [], entries: [] };

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param store - the applied registry
   * @param isCurrent - returns whether this replica leads or receives messages from the leader
   * @param relay - sends a message to the other control VMs
   */
  constructor(
    private readonly store: RegistryStore,
    private readonly isCurrent: () => boolean,
    private readonly relay: (message: VmMessage) => void,
  ) {}

  /** Locations of the entries subscribed to this VM. */
  get entries(): VmLocation[] {
    return [...this.subscribers].flatMap(({ peer }) => (
      peer === undefined ? [] : [createVmLocation(peer)]
    ));
  }

  onOpen(): void {}

  onMessage(session: VmSession, message: VmMessage): void {
    if (message.kind === 'registryAsk') {
      this.pulseReceivers.add(session);
      session.send({ kind: 'registryPulse', isCurrent: this.isCurrent() });
    }
    if (message.kind === 'crashReport') this.broadcastCrash(session, message);
    if (message.kind !== 'registrySubscribe') return;
    if (!this.isCurrent()) {
      session.send({ kind: 'registryPulse', isCurrent: false });
      return;
    }
    // The view includes pending changes, so they are sent to the other subscribers first.
    this.flush();
    this.subscribers.add(session);
    session.send(this.store.createView());
    session.send({ kind: 'roster', controls: [...this.roster.controls], entries: [...this.roster.entries] });
  }

  onClose(session: VmSession): void {
    this.subscribers.delete(session);
    this.pulseReceivers.delete(session);
  }

  /** Schedules an update with the changes applied since the last one. */
  schedule(): void {
    this.timer ??= setTimeout(() => this.flush(), BATCH_MS);
  }

  /** Sends entries whether this replica is current. */
  sendPulses(): void {
    const isCurrent = this.isCurrent();
    this.pulseReceivers.forEach((session) => session.send({ kind: 'registryPulse', isCurrent }));
  }

  /** Sets the VMs of the system, and sends them to the subscribers if they have changed. */
  setRoster(roster: Roster): void {
    if (JSON.stringify(roster) === JSON.stringify(this.roster)) return;
    this.roster = roster;
    this.broadcast({ kind: 'roster', controls: [...roster.controls], entries: [...roster.entries] });
  }

  private broadcastCrash(session: VmSession, report: CrashReport): void {
    const relayed: CrashReport = { ...report, isRelayed: true };
    [...this.subscribers].filter((subscriber) => subscriber !== session)
      .forEach((subscriber) => subscriber.send(relayed));
    if (!report.isRelayed) this.relay(relayed);
  }

  private flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    const update = this.store.collectUpdate();
    if (update !== undefined) this.broadcast(update);
  }

  private broadcast(message: VmMessage): void {
    this.subscribers.forEach((session) => session.send(message));
  }
}
