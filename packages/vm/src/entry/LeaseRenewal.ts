import leaseTiming from '@guavayard/core/lease/leaseTiming';

import type MembershipRevision from '../control/MembershipRevision';
import type ControlSubscriptionOptions from './ControlSubscriptionOptions';

/** Number of unanswered requests after which other entries are asked to relay them. */
const UNANSWERED_BEFORE_RELAYING = 2;
const MAX_RELAYING_ENTRIES = 2;

interface EntryState {
  readonly heldVersion: number | undefined;
  readonly membership: MembershipRevision | undefined;
}

/**
 * Requests the lease from the leader. If that fails, requests it from every control VM, and then
 * also via other entries, which relay the request.
 */
export default class LeaseRenewal {
  private readonly sentAtMs = new Map<string, number>();

  private leaderName: string | undefined;

  private unansweredCount = 0;

  private nextRequestMs = -Infinity;

  private count = 0;

  constructor(
    private readonly options: ControlSubscriptionOptions,
    private readonly currentState: () => EntryState,
  ) {}

  /** Sends a request at once over a newly opened session, unless the leader is responding. */
  renewNow(): void {
    if (this.leaderName !== undefined && this.unansweredCount === 0) return;
    this.nextRequestMs = -Infinity;
    this.renewIfDue();
  }

  /** Sends a request if a renewal or retry is due. */
  renewIfDue(): void {
    const nowMs = this.options.clock();
    if (nowMs < this.nextRequestMs) return;
    this.sentAtMs.forEach((sentAtMs, nonce) => {
      if (nowMs - sentAtMs > leaseTiming.leaseMs) this.sentAtMs.delete(nonce);
    });
    this.sendRequests(nowMs);
  }

  /**
   * Records a grant and schedules the next renewal.
   *
   * @param nonce - nonce of the granted request
   * @param leader - name of the VM that granted it
   * @returns when the request was sent, in milliseconds, or undefined if it is unknown or expired
   */
  recordGrant(nonce: string, leader: string): number | undefined {
    const sentAtMs = this.sentAtMs.get(nonce);
    if (sentAtMs === undefined) return undefined;
    this.sentAtMs.delete(nonce);
    this.leaderName = leader;
    this.unansweredCount = 0;
    this.nextRequestMs = sentAtMs + leaseTiming.renewIntervalMs;
    return sentAtMs;
  }

  private sendRequests(nowMs: number): void {
    this.count += 1;
    const nonce = `${this.options.identity.startId}.${this.count}`;
    this.sentAtMs.set(nonce, nowMs);
    const recipients = this.selectRecipients();
    recipients.forEach((name) => this.options.hub.send(name, {
      kind: 'leaseRequest', nonce, relays: 0, ...this.currentState(),
    }));
    this.unansweredCount += 1;
    this.nextRequestMs = nowMs + leaseTiming.retryMs;
  }

  private selectRecipients(): string[] {
    const { hub, identity } = this.options;
    if (this.unansweredCount === 0 && this.leaderName !== undefined) return [this.leaderName];
    const control = hub.namesOf('control');
    if (this.unansweredCount < UNANSWERED_BEFORE_RELAYING) return control;
    const others = hub.namesOf('entry')
      .filter((name) => name !== identity.name && !control.includes(name));
    // Rotates through the entries, because any of them may be partitioned from control as well.
    const start = others.length === 0 ? 0 : this.count % others.length;
    const rotated = [...others.slice(start), ...others.slice(0, start)];
    return [...control, ...rotated.slice(0, MAX_RELAYING_ENTRIES)];
  }
}
