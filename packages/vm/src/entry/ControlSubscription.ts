import leaseTiming from '@guavayard/core/lease/leaseTiming';
import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmIdentity from '../session/VmIdentity';
import type VmSession from '../session/VmSession';
import type ControlSubscriptionOptions from './ControlSubscriptionOptions';
import EntryMembership from './EntryMembership';
import LeaseRenewal from './LeaseRenewal';
import type SubscriptionListener from './SubscriptionListener';

type LeaseGrant = Extract<VmMessage, { kind: 'leaseGrant' }>;

const TICK_MS = 50;

/**
 * Keeps an entry's configuration and membership up to date under the configuration lease. The entry
 * may dispatch only while its lease is valid and it holds the latest confirmed version.
 */
export default class ControlSubscription implements SessionHandler {
  private held: VersionedConfiguration | undefined;

  /** The highest version that a leader has confirmed as committed. */
  private confirmedVersion = 0;

  /** End of the lease on the monotonic clock of this VM, in milliseconds. */
  private leaseEndMs = -Infinity;

  private readonly membership = new EntryMembership();

  private readonly renewal: LeaseRenewal;

  private readonly timer: NodeJS.Timeout;

  private readonly observers: SubscriptionListener['onConfiguration'][] = [];

  constructor(private readonly options: ControlSubscriptionOptions) {
    this.renewal = new LeaseRenewal(options, () => ({
      heldVersion: this.held?.version, membership: this.membership.revision,
    }));
    this.timer = setInterval(() => this.renewIfDue(), TICK_MS);
  }

  /** The latest configuration, undefined while this entry may not dispatch. */
  get latest(): VersionedConfiguration | undefined {
    if (this.options.clock() >= this.leaseEndMs) return undefined;
    const { held } = this;
    return held !== undefined && held.version >= this.confirmedVersion ? held : undefined;
  }

  /** Whether the entry holds a configuration, even if it may not dispatch under it. */
  get hasConfiguration(): boolean {
    return this.held !== undefined;
  }

  /**
   * Adds an observer of configurations.
   *
   * @param observer - called with each configuration that is received, in the order of versions
   */
  observe(observer: SubscriptionListener['onConfiguration']): void {
    this.observers.push(observer);
  }

  /** All entries that hold a lease, including this one. */
  get entries(): readonly VmIdentity[] {
    return this.membership.entries;
  }

  onOpen(_session: VmSession, peer: VmIdentity): void {
    if (peer.roles.includes('control')) this.renewal.renewNow();
  }

  onMessage(session: VmSession, message: VmMessage): void {
    if (message.kind === 'leaseGrant') this.handleGrant(message);
    if (message.kind === 'configuration') {
      this.applyConfiguration(message.latest);
      session.send({ kind: 'configurationHeld', version: message.latest.version });
    }
    if (message.kind === 'membership') this.applyMembership(message);
  }

  onClose(): void {}

  /** Requests the lease if a renewal or retry is due. */
  renewIfDue(): void {
    this.renewal.renewIfDue();
  }

  /** Releases the lease, after which this entry dispatches nothing. */
  release(): void {
    this.close();
    this.leaseEndMs = -Infinity;
    this.options.hub.sendToControl({ kind: 'leaseRelease' });
  }

  /** Stops renewing the lease. */
  close(): void {
    clearInterval(this.timer);
  }

  private handleGrant(grant: LeaseGrant): void {
    const sentAtMs = this.renewal.recordGrant(grant.nonce, grant.leader);
    if (sentAtMs === undefined) return;
    this.confirmedVersion = Math.max(this.confirmedVersion, grant.version);
    if (grant.configuration !== undefined) this.applyConfiguration(grant.configuration);
    // The grant is only known to have been valid at some moment after the request was sent, so the
    // lease counts from the request.
    this.leaseEndMs = Math.max(this.leaseEndMs, sentAtMs + leaseTiming.leaseMs);
    this.applyMembership({ change: grant.membership });
  }

  private applyConfiguration(latest: VersionedConfiguration): void {
    // A lagging control VM may still send an older version, which is ignored.
    if (this.held !== undefined && latest.version <= this.held.version) return;
    this.held = latest;
    this.options.listener.onConfiguration(latest);
    this.observers.forEach((observer) => observer(latest));
  }

  private applyMembership({ change }: Parameters<EntryMembership['applyChange']>[0]): void {
    if (change === undefined || !this.membership.applyChange({ change })) return;
    this.options.listener.onMembership(this.entries, change);
  }
}
