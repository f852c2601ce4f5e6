import CRASH_LIMIT from '@guavayard/core/quarantine/crashLimit';
import CrashHistory from '@guavayard/core/quarantine/CrashHistory';
import TargetEnds from '@guavayard/core/quarantine/TargetEnds';
import type Clock from '@guavayard/core/types/Clock';

import type VmMessage from '../messages/VmMessage';
import adaptUpdate from '../rollouts/adaptUpdate';
import adaptView from '../rollouts/adaptView';
import understandsRollouts from '../rollouts/understandsRollouts';
import encodeFrame from '../session/encodeFrame';
import type SessionHandler from '../session/SessionHandler';
import type VmIdentity from '../session/VmIdentity';
import type VmSession from '../session/VmSession';
import ANSWERED_VERSION from './answeredVersion';
import createVmLocation from './createVmLocation';
import type RegistryStore from './RegistryStore';
import RequestLimitBoard from './RequestLimitBoard';
import type Roster from './Roster';
import understandsAnswers from './understandsAnswers';
import type VmLocation from './VmLocation';

type RequestLimits = Extract<VmMessage, { kind: 'requestLimits' }>;
type CrashReport = Extract<VmMessage, { kind: 'crashReport' | 'targetCrashed' }>;
type RequestAnswered = Extract<VmMessage, { kind: 'requestAnswered' }>;

/**
 * Time for which changes are batched into one update, in milliseconds. Each update wakes every
 * entry, and the delay is small against the seconds that a change may take.
 */
const BATCH_MS = 50;

/** Time for which an encoded view is reused: it states how long targets stay cold, in ms. */
const VIEW_REUSE_MS = 100;

/** Time for which the request limits of targets are batched into one message, in milliseconds. */
const LIMITS_BATCH_MS = 100;

function encodeRoster({ controls, entries }: Roster): Buffer {
  return encodeFrame({
    kind: 'roster', controls: [...controls], entries: [...entries],
  } satisfies VmMessage);
}

/** Publishes the changes that this replica applies to the subscribed entries. */
export default class RegistryPublisher implements SessionHandler {
  private readonly subscribers = new Set<VmSession>();

  /** Sessions that receive pulses, which say whether this replica is current. */
  private readonly pulseReceivers = new Set<VmSession>();

  /** The last roster; undefined until this VM knows one, and entries keep theirs meanwhile. */
  private roster: Roster | undefined;

  private rosterFrame: Buffer | undefined;

  /** The encoded view, undefined once the registry has changed. */
  private viewFrame: Buffer | undefined;

  /** The view for entries of builds without roll-outs. */
  private olderViewFrame: Buffer | undefined;

  private viewEncodedAtMs = 0;

  private timer: NodeJS.Timeout | undefined;

  private readonly limits: RequestLimitBoard;

  /** Crashes that entries have reported. They are not replicated. */
  private readonly crashes = new CrashHistory();

  private readonly ends = new TargetEnds();

  private limitsTimer: NodeJS.Timeout | undefined;

  /**
   * @param store - the applied registry
   * @param isCurrent - returns whether this replica leads or receives messages from the leader
   * @param relay - sends a message to the other control VMs; to those of builds before the version
   *   that is given, it sends another message, or none
   * @param clock - monotonic clock, in milliseconds
   */
  constructor(
    private readonly store: RegistryStore,
    private readonly isCurrent: () => boolean,
    private readonly relay: (
      message: VmMessage, sinceVersion?: number, older?: VmMessage,
    ) => void,
    private readonly clock: Clock,
  ) {
    this.limits = new RequestLimitBoard(store);
  }

  /** Locations of the entries subscribed to this VM. */
  get entries(): VmLocation[] {
    return [...this.subscribers].flatMap(({ peer }) => (
      peer === undefined ? [] : [createVmLocation(peer)]
    ));
  }

  /** Locations of all entries of the system; undefined until this VM knows them. */
  get knownEntries(): readonly VmLocation[] | undefined {
    return this.roster?.entries;
  }

  onOpen(session: VmSession, peer: VmIdentity): void {
    // A control VM that has started knows of none. Entries that do need no more reports.
    if (peer.roles.includes('control')) this.sendCrashes(session, CRASH_LIMIT);
  }

  onMessage(session: VmSession, message: VmMessage): void {
    if (message.kind === 'registryAsk') {
      this.pulseReceivers.add(session);
      session.send({ kind: 'registryPulse', isCurrent: this.isCurrent() });
    }
    if (message.kind === 'crashReport' || message.kind === 'targetCrashed') {
      this.broadcastCrash(session, message);
    }
    if (message.kind === 'requestAnswered') this.clearCrashes(session, message);
    if (message.kind === 'requestLimits') this.recordLimits(message);
    if (message.kind !== 'registrySubscribe') return;
    if (!this.isCurrent()) {
      session.send({ kind: 'registryPulse', isCurrent: false });
      return;
    }
    // The view includes pending changes, so they are sent to the other subscribers first.
    this.flush();
    // An entry counts the reports before its view as what is known, not as further crashes.
    this.sendCrashes(session, 1);
    this.subscribers.add(session);
    session.sendFrame(this.encodeView(session));
    if (this.rosterFrame !== undefined) session.sendFrame(this.rosterFrame);
    const notices = this.limits.list();
    if (notices.length > 0) session.send({ kind: 'requestLimits', notices, isRelayed: true });
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
    const frame = encodeFrame({ kind: 'registryPulse', isCurrent: this.isCurrent() } satisfies VmMessage);
    this.pulseReceivers.forEach((session) => session.sendFrame(frame));
  }

  /** Sets the VMs of the system, and sends them to the subscribers if they have changed. */
  setRoster(roster: Roster): void {
    if (JSON.stringify(roster) === JSON.stringify(this.roster)) return;
    const frame = encodeRoster(roster);
    this.roster = roster;
    this.rosterFrame = frame;
    this.subscribers.forEach((session) => session.sendFrame(frame));
  }

  /**
   * Encodes the view for a new subscriber. After a start of the whole system, all entries subscribe
   * within a fraction of a second, so one encoding serves them until the registry changes.
   */
  private encodeView(session: VmSession): Buffer {
    const nowMs = this.clock();
    if (nowMs - this.viewEncodedAtMs >= VIEW_REUSE_MS) this.forgetView();
    if (this.viewFrame === undefined && this.olderViewFrame === undefined) {
      this.viewEncodedAtMs = nowMs;
    }
    if (understandsRollouts(session)) {
      this.viewFrame ??= encodeFrame(this.store.createView());
      return this.viewFrame;
    }
    this.olderViewFrame ??= encodeFrame(adaptView(this.store.state, this.store.createView()));
    return this.olderViewFrame;
  }

  private forgetView(): void {
    this.viewFrame = undefined;
    this.olderViewFrame = undefined;
  }

  private broadcastCrash(session: VmSession, report: CrashReport): void {
    const nowMs = this.clock();
    const { fingerprint } = report;
    const isRepeated = report.kind === 'targetCrashed'
      && !this.ends.recordReport(fingerprint, report.targetId, nowMs);
    // The first report after a response is passed on, so that entries tell of the next response.
    if (isRepeated && this.crashes.count(fingerprint, nowMs) > 0) return;
    const isKnown = this.crashes.isQuarantined(fingerprint, nowMs);
    if (!isKnown) this.crashes.recordCrash(fingerprint, nowMs);
    // Control VMs repeat what they know when they connect.
    if (isKnown && report.isRelayed) return;
    const relayed: CrashReport = { ...report, isRelayed: true };
    const older: VmMessage = { kind: 'crashReport', fingerprint, isRelayed: true };
    const frame = encodeFrame(relayed);
    const olderFrame = encodeFrame(older);
    [...this.subscribers].filter((subscriber) => subscriber !== session)
      .forEach((subscriber) => (
        subscriber.sendFrame(understandsAnswers(subscriber) ? frame : olderFrame)));
    if (report.isRelayed) return;
    if (report.kind === 'crashReport') this.relay(relayed);
    else this.relay(relayed, ANSWERED_VERSION, older);
  }

  private clearCrashes(session: VmSession, message: RequestAnswered): void {
    const { kind, fingerprint, isRelayed } = message;
    const isKnown = this.crashes.count(fingerprint, this.clock()) > 0;
    this.crashes.recordResponse(fingerprint);
    const relayed: RequestAnswered = { kind, fingerprint, isRelayed: true };
    // Other control VMs may know of crashes that this one does not.
    if (!isRelayed) this.relay(relayed, ANSWERED_VERSION);
    if (!isKnown) return;
    const frame = encodeFrame(relayed);
    [...this.subscribers]
      .filter((subscriber) => subscriber !== session && understandsAnswers(subscriber))
      .forEach((subscriber) => subscriber.sendFrame(frame));
  }

  /** Sends the crashes of all requests that have crashed targets at least so many times. */
  private sendCrashes(session: VmSession, minCount: number): void {
    this.crashes.list(this.clock()).filter(({ count }) => count >= minCount)
      .forEach(({ fingerprint, count }) => {
        const frame = encodeFrame({
          kind: 'crashReport', fingerprint, isRelayed: true,
        } satisfies VmMessage);
        for (let sent = 0; sent < count; sent += 1) session.sendFrame(frame);
      });
  }

  private recordLimits({ notices, isRelayed }: RequestLimits): void {
    notices.forEach((notice) => this.limits.record(notice, isRelayed));
    this.limitsTimer ??= setTimeout(() => this.flushLimits(), LIMITS_BATCH_MS);
  }

  private flushLimits(): void {
    this.limitsTimer = undefined;
    const { all, own } = this.limits.collect();
    if (all.length > 0) {
      this.broadcast({ kind: 'requestLimits', notices: [...all], isRelayed: true });
    }
    if (own.length > 0) this.relay({ kind: 'requestLimits', notices: [...own], isRelayed: true });
  }

  /** Sends subscribers the changes applied since the last update. */
  flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    const update = this.store.collectUpdate();
    if (update === undefined) return;
    this.forgetView();
    const older = [...this.subscribers].filter((session) => !understandsRollouts(session));
    const frame = encodeFrame(update);
    this.subscribers.forEach((session) => {
      if (!older.includes(session)) session.sendFrame(frame);
    });
    if (older.length === 0) return;
    const olderFrame = encodeFrame(adaptUpdate(this.store, update));
    older.forEach((session) => session.sendFrame(olderFrame));
  }

  private broadcast(message: VmMessage): void {
    const frame = encodeFrame(message);
    this.subscribers.forEach((session) => session.sendFrame(frame));
  }
}
