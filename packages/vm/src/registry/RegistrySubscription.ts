import type Declaration from '@guavayard/core/registry/Declaration';
import type RolloutNotice from '@guavayard/core/rollouts/RolloutNotice';
import type RequestLimitNotice from '@guavayard/core/requestLimit/RequestLimitNotice';
import type RegisteredTarget from '@guavayard/core/registry/RegisteredTarget';
import type Clock from '@guavayard/core/types/Clock';

import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmHub from '../session/VmHub';
import findProtocolVersion from '../session/findProtocolVersion';
import type VmIdentity from '../session/VmIdentity';
import type VmSession from '../session/VmSession';
import ANSWERED_VERSION from './answeredVersion';
import ControlConnections from './ControlConnections';
import type CurrencyClient from './CurrencyClient';
import type RegistryListener from './RegistryListener';
import type Roster from './Roster';
import understandsAnswers from './understandsAnswers';
import understandsTenants from './understandsTenants';

type View = Extract<VmMessage, { kind: 'registryView' }>;
type Update = Extract<VmMessage, { kind: 'registryUpdate' }>;

/** Time without a message after which the followed control VM is dropped, in milliseconds. */
const SOURCE_TIMEOUT_MS = 800;
/** Longest wait for the view after a subscribe request, in milliseconds. */
const VIEW_TIMEOUT_MS = 500;
/** Interval at which an entry without a source searches for one, in milliseconds. */
const SEARCH_INTERVAL_MS = 100;
/** Interval at which control VMs are asked whether they are current, in milliseconds. */
const ASK_INTERVAL_MS = 400;
/**
 * Interval at which an entry that follows a control VM of another region searches for one in its
 * own region, in milliseconds.
 */
const NEARER_SEARCH_INTERVAL_MS = 3000;
/**
 * Version from which on control VMs understand `targetLeaving`. Of those that tell no version, some
 * would close the session over it.
 */
const LEAVING_PROTOCOL_VERSION = 2;

interface RegistrySubscriptionOptions {
  readonly hub: VmHub;
  readonly identity: VmIdentity;
  readonly seeds: readonly string[];
  readonly clock: Clock;
  /** Keeps the proof that this copy is recent; absent if nothing needs one. */
  readonly currency?: CurrencyClient | undefined;
  readonly listener: RegistryListener;
}

/**
 * An entry's copy of the registry. The entry follows one control VM that is current, its source.
 * When the source fails, the entry asks all control VMs and follows the first that responds, which
 * is most often the nearest. The copy never goes back to an older index, and it is kept while the
 * entry has no source.
 */
export default class RegistrySubscription implements SessionHandler {
  declaration: Declaration | undefined;

  evacuated: ReadonlySet<string> = new Set();

  readonly targets = new Map<string, RegisteredTarget>();

  /** The last roll-out of each service. */
  rollouts: readonly RolloutNotice[] = [];

  roster: Roster = { controls: [], entries: [] };

  private index = -1;

  /** Session with the control VM that is followed. */
  private source: VmSession | undefined;

  /** The subscribe request whose view has not arrived: its session and the time it was sent. */
  private pendingView: { readonly session: VmSession; readonly atMs: number } | undefined;

  /** Crashes that the control VM reported before its view, by the fingerprint of the request. */
  private knownCrashes = new Map<string, number>();

  private readonly connections: ControlConnections;

  /** Open sessions with control VMs. */
  private readonly controlSessions = new Set<VmSession>();

  private nextAskMs = 0;

  private nextNearerSearchMs = 0;

  private isClosed = false;

  /** Runs only while there is no source, so that an entry at rest has no periodic wake-ups. */
  private searchTimer: NodeJS.Timeout | undefined;

  /** Restarted by each message of the source. */
  private silenceTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: RegistrySubscriptionOptions) {
    this.connections = new ControlConnections(options.hub);
  }

  /** Whether this entry follows a control VM that is current. */
  get isFollowing(): boolean {
    return this.source !== undefined;
  }

  /** Starts following control. */
  start(): void {
    this.options.hub.addHandler(this);
    this.searchForSource();
  }

  /** Reports a target crash to the other entries through the source, if there is one. */
  reportCrash(fingerprint: string, targetId: string): void {
    if (this.source === undefined) return;
    this.report(understandsAnswers(this.source)
      ? {
        kind: 'targetCrashed', fingerprint, targetId, isRelayed: false,
      }
      : { kind: 'crashReport', fingerprint, isRelayed: false });
  }

  /** Tells the other entries that a target has answered a request, if there is a source. */
  reportAnswered(fingerprint: string): void {
    this.report({ kind: 'requestAnswered', fingerprint, isRelayed: false }, ANSWERED_VERSION);
  }

  /** Tells control that an incarnation of a target is about to leave, if there is a source. */
  reportLeaving(targetId: string, bornAtMs: number): void {
    this.report({ kind: 'targetLeaving', targetId, bornAtMs }, LEAVING_PROTOCOL_VERSION);
  }

  /** Tells the other entries of the request limit of a target, if there is a source. */
  shareLimit(notice: RequestLimitNotice): void {
    this.report({ kind: 'requestLimits', notices: [notice], isRelayed: false });
  }

  /**
   * Sends a message to the source, if there is one that understands it.
   *
   * @param message - the message
   * @param sinceVersion - version of the messages that has it first
   */
  report(message: VmMessage, sinceVersion = 1): void {
    const peer = this.source?.peer;
    if (peer !== undefined && findProtocolVersion(peer) >= sinceVersion) this.source?.send(message);
  }

  /** Stops following control. */
  close(): void {
    this.isClosed = true;
    this.options.currency?.stop();
    clearTimeout(this.searchTimer);
    clearTimeout(this.silenceTimer);
  }

  onOpen(session: VmSession, peer: VmIdentity): void {
    if (!peer.roles.includes('control')) return;
    this.controlSessions.add(session);
    session.send({ kind: 'registryAsk' });
  }

  onMessage(session: VmSession, message: VmMessage): void {
    if (session === this.source) {
      this.silenceTimer?.refresh();
      this.options.listener.onContact();
    }
    if (message.kind === 'registryPulse') this.handlePulse(session, message.isCurrent);
    if (session === this.pendingView?.session) {
      if (message.kind === 'crashReport') this.countKnownCrash(message.fingerprint);
      if (message.kind === 'registryView') this.applyView(session, message);
    }
    if (session !== this.source) return;
    if (message.kind === 'registryUpdate') this.applyUpdate(session, message);
    if (message.kind === 'currencyAnswer') this.options.currency?.handleAnswer(message.number);
    if (message.kind === 'roster') this.applyRoster(message);
    if (message.kind === 'requestLimits') this.options.listener.onRequestLimits(message.notices);
    if (message.kind === 'crashReport') this.options.listener.onCrash(message.fingerprint);
    if (message.kind === 'targetCrashed') {
      this.options.listener.onCrash(message.fingerprint, message.targetId);
    }
    if (message.kind === 'requestAnswered') {
      this.options.listener.onRequestAnswered(message.fingerprint);
    }
  }

  onClose(session: VmSession, reason: string): void {
    this.controlSessions.delete(session);
    if (session === this.pendingView?.session) this.pendingView = undefined;
    if (session === this.source) this.dropSource(reason);
  }

  private handlePulse(session: VmSession, isCurrent: boolean): void {
    if (session === this.source) {
      if (isCurrent) this.searchForNearerSource();
      else this.dropSource('not current');
      return;
    }
    const isWanted = this.source === undefined
      || (this.isInOwnRegion(session) && !this.isInOwnRegion(this.source));
    const nowMs = this.options.clock();
    const isViewPending = this.pendingView !== undefined
      && nowMs - this.pendingView.atMs <= VIEW_TIMEOUT_MS;
    if (!isCurrent || !isWanted || isViewPending) return;
    this.pendingView = { session, atMs: nowMs };
    this.knownCrashes.clear();
    session.send({ kind: 'registrySubscribe' });
  }

  private applyView(session: VmSession, view: View): void {
    this.pendingView = undefined;
    // A view older than this entry's copy is ignored; the control VM is retried on its next pulse.
    if (view.index < this.index) return;
    this.source = session;
    this.nextNearerSearchMs = this.options.clock() + NEARER_SEARCH_INTERVAL_MS;
    clearTimeout(this.searchTimer);
    clearTimeout(this.silenceTimer);
    this.silenceTimer = setTimeout(() => this.dropSource('silent'), SOURCE_TIMEOUT_MS);
    this.applyDeclaration(session, view.declaration);
    this.evacuated = new Set(view.evacuated);
    this.targets.clear();
    view.targets.forEach((target) => this.targets.set(target.id, target));
    this.rollouts = view.rollouts ?? [];
    this.index = view.index;
    this.connections.disconnectOthers(session.peer?.address);
    this.knownCrashes.forEach((count, fingerprint) => (
      this.options.listener.onKnownCrashes(fingerprint, count)));
    this.knownCrashes.clear();
    this.options.listener.onSourceChange(session.peer?.name, 'subscribed');
    this.options.listener.onChange();
    this.options.currency?.follow(session);
  }

  private countKnownCrash(fingerprint: string): void {
    this.knownCrashes.set(fingerprint, (this.knownCrashes.get(fingerprint) ?? 0) + 1);
  }

  /** Applies a declaration. Control VMs of older builds do not tell its tenants. */
  private applyDeclaration(session: VmSession, declaration: Declaration | undefined): void {
    const source = declaration?.source === '' && !understandsTenants(session)
      ? this.declaration?.source ?? '' : declaration?.source;
    this.declaration = declaration && { ...declaration, source: source ?? '' };
  }

  private applyUpdate(session: VmSession, update: Update): void {
    if (update.declaration !== undefined) this.applyDeclaration(session, update.declaration);
    if (update.evacuated !== undefined) this.evacuated = new Set(update.evacuated);
    if (update.rollouts !== undefined) this.rollouts = update.rollouts;
    update.removedIds.forEach((id) => this.targets.delete(id));
    update.targets.forEach((target) => this.targets.set(target.id, target));
    this.index = update.index;
    this.options.listener.onChange();
  }

  private applyRoster({ controls, entries }: Roster): void {
    // Older builds send an empty one until they know the entries.
    if (entries.length === 0) return;
    this.roster = { controls, entries };
    this.options.listener.onRosterChange(this.roster);
  }

  /** Connects to all control VMs and asks them, until one of them is followed. */
  private searchForSource(): void {
    if (this.isClosed) return;
    this.connectAll();
    this.askIfDue(this.options.clock());
    this.searchTimer = setTimeout(() => this.searchForSource(), SEARCH_INTERVAL_MS);
  }

  /** Searches for a source in the own region, as updates between regions are paid by volume. */
  private searchForNearerSource(): void {
    const nowMs = this.options.clock();
    if (this.source === undefined || this.isInOwnRegion(this.source)
      || nowMs < this.nextNearerSearchMs) return;
    this.nextNearerSearchMs = nowMs + NEARER_SEARCH_INTERVAL_MS;
    this.roster.controls
      .filter(({ region }) => region === this.options.identity.region)
      .forEach(({ address }) => this.connections.connect(address));
  }

  /** Repeats the question: a control VM that was still starting has not handled the first one. */
  private askIfDue(nowMs: number): void {
    if (nowMs < this.nextAskMs) return;
    this.nextAskMs = nowMs + ASK_INTERVAL_MS;
    this.controlSessions.forEach((session) => session.send({ kind: 'registryAsk' }));
  }

  private dropSource(reason: string): void {
    this.options.listener.onSourceChange(undefined, reason);
    const address = this.source?.peer?.address;
    this.source = undefined;
    this.options.currency?.stop();
    // A silent session may not recover, so a new one is opened.
    if (address !== undefined) this.connections.disconnect(address);
    clearTimeout(this.searchTimer);
    clearTimeout(this.silenceTimer);
    this.searchForSource();
  }

  private isInOwnRegion(session: VmSession): boolean {
    return session.peer?.region === this.options.identity.region;
  }

  private connectAll(): void {
    // Seeds remain candidates, because all control VMs of the roster may have been replaced.
    this.options.seeds.forEach((address) => this.connections.connect(address));
    this.roster.controls.forEach(({ address }) => this.connections.connect(address));
  }
}
