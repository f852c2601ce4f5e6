import type Declaration from '@guavayard/core/registry/Declaration';
import type RegisteredTarget from '@guavayard/core/registry/RegisteredTarget';
import type Clock from '@guavayard/core/types/Clock';
import type Random from '@guavayard/core/types/Random';

import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmHub from '../session/VmHub';
import type VmIdentity from '../session/VmIdentity';
import type VmSession from '../session/VmSession';
import type RegistryListener from './RegistryListener';
import type Roster from './Roster';

type View = Extract<VmMessage, { kind: 'registryView' }>;
type Update = Extract<VmMessage, { kind: 'registryUpdate' }>;

/** Silence of a control VM after which another one is asked, in milliseconds. */
const SILENCE_MS = 1000;
/** Longest time from connecting to the first view, in milliseconds. */
const VIEW_TIMEOUT_MS = 700;
const CHECK_MS = 100;

interface RegistrySubscriptionOptions {
  readonly hub: VmHub;
  readonly identity: VmIdentity;
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly random: Random;
  readonly listener: RegistryListener;
}

/**
 * What an entry knows from control. It follows one control VM, the nearest that is current, and
 * keeps what it knows while it follows none. It never goes back to an older state.
 */
export default class RegistrySubscription implements SessionHandler {
  declaration: Declaration | undefined;

  evacuated: ReadonlySet<string> = new Set();

  readonly targets = new Map<string, RegisteredTarget>();

  roster: Roster = { controls: [], entries: [] };

  private index = -1;

  private source: VmSession | undefined;

  private isFollowing = false;

  private address: string | undefined;

  private heardAtMs = 0;

  /** When an address failed last; the ones that failed longest ago are tried first. */
  private readonly failedAtMs = new Map<string, number>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: RegistrySubscriptionOptions) {}

  /** Starts to follow control. */
  start(): void {
    this.options.hub.addHandler(this);
    this.connectNext();
    this.timer = setInterval(() => this.check(), CHECK_MS);
  }

  /** Stops following. */
  close(): void {
    clearInterval(this.timer);
  }

  onOpen(session: VmSession, peer: VmIdentity): void {
    if (peer.address !== this.address) return;
    this.source = session;
    session.send({ kind: 'registrySubscribe' });
  }

  onMessage(session: VmSession, message: VmMessage): void {
    if (session !== this.source) return;
    this.heardAtMs = this.options.clock();
    if (message.kind === 'registryView') this.takeView(message);
    if (message.kind === 'registryUpdate') this.takeUpdate(message);
    if (message.kind === 'roster') this.takeRoster(message);
    if (message.kind === 'registryPulse' && !message.isCurrent) this.leave('not current');
  }

  onClose(session: VmSession, reason: string): void {
    if (session === this.source) this.leave(reason);
  }

  private takeView(view: View): void {
    if (view.index < this.index) {
      this.leave('its state is older');
      return;
    }
    this.isFollowing = true;
    this.declaration = view.declaration;
    this.evacuated = new Set(view.evacuated);
    this.targets.clear();
    view.targets.forEach((target) => this.targets.set(target.id, target));
    this.index = view.index;
    this.options.listener.onSource(this.source?.peer?.name, 'subscribed');
    this.options.listener.onChange();
  }

  private takeUpdate(update: Update): void {
    if (update.declaration !== undefined) this.declaration = update.declaration;
    if (update.evacuated !== undefined) this.evacuated = new Set(update.evacuated);
    update.removedIds.forEach((id) => this.targets.delete(id));
    update.targets.forEach((target) => this.targets.set(target.id, target));
    this.index = update.index;
    this.options.listener.onChange();
  }

  private takeRoster(roster: Roster): void {
    this.roster = { controls: roster.controls, entries: roster.entries };
    this.options.listener.onRoster(this.roster);
    const best = this.listAddresses()[0];
    const isNear = this.source?.peer?.region === this.options.identity.region;
    const hasNear = roster.controls.some(({ region }) => region === this.options.identity.region);
    // A follower across a region link pays for every update.
    if (!isNear && hasNear && best !== undefined && best !== this.address) {
      this.leave('a nearer control VM is known', false);
    }
  }

  private check(): void {
    const limitMs = this.isFollowing ? SILENCE_MS : VIEW_TIMEOUT_MS;
    if (this.options.clock() - this.heardAtMs > limitMs) this.leave('silent');
  }

  private leave(reason: string, hasFailed = true): void {
    if (this.isFollowing) this.options.listener.onSource(undefined, reason);
    if (hasFailed && this.address !== undefined) {
      this.failedAtMs.set(this.address, this.options.clock());
    }
    this.isFollowing = false;
    this.source = undefined;
    if (this.address !== undefined) this.options.hub.disconnect(this.address);
    this.address = undefined;
    this.connectNext();
  }

  private connectNext(): void {
    this.heardAtMs = this.options.clock();
    const [next] = this.listAddresses();
    if (next === undefined) return;
    this.address = next;
    this.options.hub.connect(next);
  }

  private listAddresses(): string[] {
    const { seeds, identity, random } = this.options;
    const known = this.roster.controls.length > 0
      ? this.roster.controls
      : seeds.map((address) => ({ address, region: '', dataCentre: '' }));
    const distance = (place: typeof known[number]): number => {
      if (place.dataCentre === identity.dataCentre) return 0;
      return place.region === identity.region ? 1 : 2;
    };
    const rank = new Map(known.map((place) => [place.address, distance(place) + random() / 2]));
    // Seeds stay candidates: all control VMs of the roster may have been replaced.
    seeds.forEach((address) => {
      if (!rank.has(address)) rank.set(address, 3 + random());
    });
    const failedAt = (address: string): number => this.failedAtMs.get(address) ?? -Infinity;
    const recent = this.options.clock() - 3 * SILENCE_MS;
    return [...rank.keys()].sort((a, b) => {
      const late = Math.max(failedAt(a), recent) - Math.max(failedAt(b), recent);
      return late !== 0 ? late : (rank.get(a) ?? 0) - (rank.get(b) ?? 0);
    });
  }
}
