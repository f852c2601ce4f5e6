import type ColdRateLimit from '@guavayard/core/placement/ColdRateLimit';
import createPlacedTarget from '@guavayard/core/placement/createPlacedTarget';
import maySendToColdTarget from '@guavayard/core/placement/maySendToColdTarget';
import RosterHistory from '@guavayard/core/placement/RosterHistory';

import type VmLocation from '../../src/registry/VmLocation';

/** Time without control after which an entry knows that it follows none, in milliseconds. */
const SOURCE_TIMEOUT_MS = 800;
/** Time from the start of a process, or the end of a cut, to the next view, in milliseconds. */
const SUBSCRIBE_MS = 400;
const OBSERVE_INTERVAL_MS = 1000;

interface TimedRoster {
  readonly atMs: number;
  readonly entries: readonly VmLocation[];
}

/** A simulated entry that sends a cold target as many requests as it may. */
export default class ColdEntry {
  readonly location: VmLocation;

  isRunning = false;

  isFrozen = false;

  isCut = false;

  /** Whether control has a subscription of this entry. */
  isSubscribed = false;

  private history = new RosterHistory(0);

  private target = this.createTarget();

  private isFollowing = false;

  private heardAtMs = 0;

  private subscribesAtMs = Infinity;

  private nextObserveMs = 0;

  private inbox: TimedRoster[] = [];

  constructor(readonly name: string, private readonly requestsPerSecond: number) {
    this.location = {
      name, region: 'munster', dataCentre: 'cork', address: `${name}:7000`,
    };
  }

  start(nowMs: number): void {
    Object.assign(this, {
      isRunning: true,
      isFrozen: false,
      isFollowing: false,
      isSubscribed: false,
      history: new RosterHistory(nowMs),
      target: this.createTarget(),
      subscribesAtMs: nowMs + SUBSCRIBE_MS,
      nextObserveMs: nowMs + OBSERVE_INTERVAL_MS,
      inbox: [],
    });
  }

  /** Delivers a roster later, as long as the subscription lasts. */
  deliver(roster: TimedRoster): void {
    if (this.isSubscribed) this.inbox.push(roster);
  }

  /**
   * Lets time pass.
   *
   * @param nowMs - the clock
   * @param roster - the roster at the control VM; undefined if control does not work or knows none
   * @param hasControl - whether control works
   * @returns the number of requests that it sends to the target now
   */
  step(nowMs: number, roster: TimedRoster['entries'] | undefined, hasControl: boolean): number {
    const isReached = hasControl && !this.isCut;
    if (!this.isRunning) this.isSubscribed = false;
    if (!this.isRunning || this.isFrozen) {
      // Control ends sessions of VMs that do not answer.
      if (!isReached || nowMs - this.heardAtMs > SOURCE_TIMEOUT_MS) this.isSubscribed = false;
      return 0;
    }
    // Requests that wait in sockets may be read before timers run and control is heard.
    const sent = this.send(nowMs);
    if (nowMs >= this.nextObserveMs) {
      this.history.observe(nowMs);
      this.nextObserveMs = nowMs + OBSERVE_INTERVAL_MS;
    }
    this.follow(nowMs, roster, isReached);
    return sent;
  }

  private follow(nowMs: number, roster: TimedRoster['entries'] | undefined, isReached: boolean): void {
    if (isReached && this.isSubscribed) this.heardAtMs = nowMs;
    if (this.isFollowing && (!this.isSubscribed || !isReached)
      && nowMs - this.heardAtMs >= SOURCE_TIMEOUT_MS) {
      this.isFollowing = false;
      this.isSubscribed = false;
      this.history.setFollowing(false, nowMs);
      this.subscribesAtMs = nowMs + SUBSCRIBE_MS;
      this.inbox = [];
    }
    this.inbox.filter(({ atMs }) => atMs <= nowMs)
      .forEach(({ entries }) => this.applyRoster(entries, nowMs));
    this.inbox = this.inbox.filter(({ atMs }) => atMs > nowMs);
    if (this.isFollowing || !isReached || nowMs < this.subscribesAtMs) return;
    this.isFollowing = true;
    this.isSubscribed = true;
    this.heardAtMs = nowMs;
    this.history.setFollowing(true, nowMs);
    if (roster !== undefined) this.applyRoster(roster, nowMs);
  }

  private applyRoster(entries: readonly VmLocation[], nowMs: number): void {
    this.history.setEntries(entries.map(({ name }) => name), nowMs);
  }

  private send(nowMs: number): number {
    const limit: ColdRateLimit = {
      requestsPerSecond: this.requestsPerSecond, rosters: this.history.findRecent(nowMs),
    };
    let sent = 0;
    while (maySendToColdTarget(this.target, limit, this.name, nowMs)) {
      this.target.recentSends.push(nowMs);
      sent += 1;
    }
    return sent;
  }

  private createTarget(): ReturnType<typeof createPlacedTarget> {
    const target = createPlacedTarget({
      id: 'i-1',
      service: 'lots',
      address: '10.0.0.1:80',
      dataCentre: 'cork',
      slots: 2,
      state: 'ready',
      bornAtMs: 0,
      sequence: 1,
      coldLeftMs: 0,
    }, 'munster', this.name);
    target.coldUntilMs = Infinity;
    return target;
  }
}
