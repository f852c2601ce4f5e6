import leaseTiming from '@guavayard/core/lease/leaseTiming';

import type MembershipRevision from '../control/MembershipRevision';
import type ControlSubscriptionOptions from './ControlSubscriptionOptions';

/** Unanswered requests after which other entries are asked to relay. */
const UNANSWERED_BEFORE_ENTRIES = 2;
const MAX_RELAYING_ENTRIES = 2;

interface KnownState {
  readonly heldVersion: number | undefined;
  readonly membership: MembershipRevision | undefined;
}

/** Asks for the lease: first the leader, then every control VM, then other entries as well. */
export default class LeaseRenewal {
  private readonly askedAtMs = new Map<string, number>();

  private leaderName: string | undefined;

  private unanswered = 0;

  private nextAskMs = -Infinity;

  private count = 0;

  constructor(
    private readonly options: ControlSubscriptionOptions,
    private readonly known: () => KnownState,
  ) {}

  /** Asks as soon as possible, as a new way has opened. */
  hasten(): void {
    if (this.leaderName !== undefined && this.unanswered === 0) return;
    this.nextAskMs = -Infinity;
    this.renewIfDue();
  }

  /** Asks if it is time to. */
  renewIfDue(): void {
    const nowMs = this.options.clock();
    if (nowMs < this.nextAskMs) return;
    this.askedAtMs.forEach((askedAtMs, nonce) => {
      if (nowMs - askedAtMs > leaseTiming.leaseMs) this.askedAtMs.delete(nonce);
    });
    this.ask(nowMs);
  }

  /**
   * Takes a grant.
   *
   * @param nonce - the nonce that it answers
   * @param leader - the VM that granted it
   * @returns when this entry asked, in milliseconds, or undefined if it did not or it is long ago
   */
  takeGrant(nonce: string, leader: string): number | undefined {
    const askedAtMs = this.askedAtMs.get(nonce);
    if (askedAtMs === undefined) return undefined;
    this.askedAtMs.delete(nonce);
    this.leaderName = leader;
    this.unanswered = 0;
    this.nextAskMs = askedAtMs + leaseTiming.renewMs;
    return askedAtMs;
  }

  private ask(nowMs: number): void {
    this.count += 1;
    const nonce = `${this.options.identity.startId}.${this.count}`;
    this.askedAtMs.set(nonce, nowMs);
    const receivers = this.findReceivers();
    receivers.forEach((name) => this.options.hub.send(name, {
      kind: 'leaseRequest', nonce, relays: 0, ...this.known(),
    }));
    this.unanswered += 1;
    this.nextAskMs = nowMs + leaseTiming.retryMs;
  }

  private findReceivers(): string[] {
    const { hub, identity } = this.options;
    if (this.unanswered === 0 && this.leaderName !== undefined) return [this.leaderName];
    const control = hub.namesOf('control');
    if (this.unanswered < UNANSWERED_BEFORE_ENTRIES) return control;
    const others = hub.namesOf('entry')
      .filter((name) => name !== identity.name && !control.includes(name));
    // Another entry each time, for any of them may be cut off as well.
    const start = others.length === 0 ? 0 : this.count % others.length;
    const rotated = [...others.slice(start), ...others.slice(0, start)];
    return [...control, ...rotated.slice(0, MAX_RELAYING_ENTRIES)];
  }
}
