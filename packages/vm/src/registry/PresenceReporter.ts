import type Logger from 'bunyan';

import type Clock from '@guavayard/core/types/Clock';

import type ConsensusTask from '../control/ConsensusTask';
import type VmMessage from '../messages/VmMessage';
import type VmHub from '../session/VmHub';
import type VmIdentity from '../session/VmIdentity';
import createVmLocation from './createVmLocation';
import PresenceTable from './PresenceTable';
import type RegistryPublisher from './RegistryPublisher';
import type RegistryStore from './RegistryStore';
import type VmLocation from './VmLocation';

type Presence = Extract<VmMessage, { kind: 'presence' }>;

/** Interval at which presence is reported, in milliseconds. */
const PRESENCE_INTERVAL_MS = 1000;
/**
 * Time after which a new leader that knew no roster has heard of all entries, in milliseconds: they
 * subscribe within one interval, and the control VMs report it within another.
 */
const ROSTER_DELAY_MS = 2 * PRESENCE_INTERVAL_MS;
/** Number of presence intervals after which an unchanged roster is sent again. */
const ROSTER_RESEND_INTERVALS = 10;

interface PresenceReporterOptions {
  readonly consensus: Pick<ConsensusTask, 'isLeader' | 'leaderName' | 'propose' | 'voterNames'>;
  readonly store: Pick<RegistryStore, 'state'>;
  readonly publisher: Pick<RegistryPublisher, 'entries' | 'knownEntries' | 'setRoster'>;
  readonly hub: Pick<VmHub, 'send' | 'sendToControl'>;
  readonly identity: VmIdentity;
  readonly log: Logger;
  readonly clock: Clock;
  /** Time without an announcement after which a target is expired, in milliseconds. */
  readonly targetTimeoutMs: number;
}

/**
 * Reports to the leader which targets and entries are in contact with this control VM. As the
 * leader, it expires silent targets and publishes the roster.
 */
export default class PresenceReporter {
  private readonly presence: PresenceTable;

  /** Targets that announced themselves to this VM since its last presence report to the leader. */
  private readonly announcedIds = new Set<string>();

  private readonly controlLocations = new Map<string, VmLocation>();

  private lastRoster = '';

  /** When this VM may publish a roster as the leader. */
  private rosterDueAtMs = 0;

  private unsentRosterIntervals = 0;

  constructor(private readonly options: PresenceReporterOptions) {
    const { clock, targetTimeoutMs, identity } = options;
    this.presence = new PresenceTable(clock, targetTimeoutMs);
    this.controlLocations.set(identity.name, createVmLocation(identity));
  }

  /** @returns the timer that reports at regular intervals, after it has called a function */
  start(beforeReport: () => void): NodeJS.Timeout {
    return setInterval(() => {
      beforeReport();
      this.report();
    }, PRESENCE_INTERVAL_MS);
  }

  /** Records that a target has announced itself to this VM without news. */
  recordAnnouncement(targetId: string): void {
    this.announcedIds.add(targetId);
  }

  /** Records the location of a control VM with which a session was opened. */
  recordControl(peer: VmIdentity): void {
    this.controlLocations.set(peer.name, createVmLocation(peer));
    // A process that has just started knows no roster.
    this.lastRoster = '';
  }

  /** Records which targets and entries are in contact with another control VM. */
  recordContact({ targetIds, entries }: Presence): void {
    this.presence.recordContact(targetIds, entries);
  }

  /** Starts every timeout anew, for a leader that has just been elected. */
  reset(): void {
    const { clock, publisher: { knownEntries } } = this.options;
    this.presence.reset(knownEntries ?? []);
    this.rosterDueAtMs = knownEntries === undefined ? clock() + ROSTER_DELAY_MS : 0;
  }

  /**
   * Finds a control VM near a target.
   *
   * @param dataCentre - data centre of the target
   * @param region - the region of that data centre
   * @returns the name of a voter in the data centre or else in the region, undefined if there is
   *   none
   */
  findNearestControl(dataCentre: string, region: string): string | undefined {
    const voters = new Set(this.options.consensus.voterNames);
    const locations = [...this.controlLocations.values()].filter(({ name }) => voters.has(name));
    const nearest = locations.find((location) => location.dataCentre === dataCentre)
      ?? locations.find((location) => location.region === region);
    return nearest?.name;
  }

  private report(): void {
    const { consensus, publisher: { entries }, hub } = this.options;
    const targetIds = [...this.announcedIds];
    this.announcedIds.clear();
    if (!consensus.isLeader) {
      const { leaderName } = consensus;
      if (leaderName === undefined) return;
      hub.send(leaderName, { kind: 'presence', targetIds, entries });
      return;
    }
    this.presence.recordContact(targetIds, entries);
    this.expireSilentTargets();
    this.publishRoster();
  }

  private expireSilentTargets(): void {
    const { consensus, store, log } = this.options;
    this.presence.findExpiredTargets(store.state).forEach((targetId) => {
      const known = store.state.targets[targetId];
      if (known === undefined) return;
      const { bornAtMs, sequence } = known;
      log.info({ target: targetId }, 'target timed out');
      consensus.propose({
        kind: 'registry',
        change: {
          kind: 'expire', targetId, bornAtMs, sequence,
        },
      }).catch((err: Error) => log.error({ err }, 'failed to expire target'));
    });
  }

  private publishRoster(): void {
    const {
      clock, consensus, publisher, hub,
    } = this.options;
    if (clock() < this.rosterDueAtMs) return;
    const voters = new Set(consensus.voterNames);
    const controls = [...this.controlLocations.values()]
      .filter(({ name }) => voters.has(name))
      .sort((a, b) => (a.name < b.name ? -1 : 1));
    const roster = { controls, entries: this.presence.entries };
    publisher.setRoster(roster);
    // Traffic between regions is paid by volume, so an unchanged roster is sent only occasionally.
    const text = JSON.stringify(roster);
    this.unsentRosterIntervals += 1;
    if (text === this.lastRoster && this.unsentRosterIntervals < ROSTER_RESEND_INTERVALS) return;
    this.lastRoster = text;
    this.unsentRosterIntervals = 0;
    hub.sendToControl({ kind: 'roster', ...roster });
  }
}
