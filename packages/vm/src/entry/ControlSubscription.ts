import leaseTiming from '@guavayard/core/lease/leaseTiming';
import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmIdentity from '../session/VmIdentity';
import type VmSession from '../session/VmSession';
import type ControlSubscriptionOptions from './ControlSubscriptionOptions';
import EntryMembership from './EntryMembership';
import LeaseRenewal from './LeaseRenewal';

type LeaseGrant = Extract<VmMessage, { kind: 'leaseGrant' }>;

const TICK_MS = 50;

/**
 * Keeps an entry at the latest configuration and membership, under the configuration lease: the
 * entry may dispatch only while it knows the latest committed version and holds it.
 */
export default class ControlSubscription implements SessionHandler {
  private held: VersionedConfiguration | undefined;

  /** The highest version that a leader has confirmed. */
  private confirmedVersion = 0;

  /** End of the lease on this VM's own clock, in milliseconds. */
  private leaseUntilMs = -Infinity;

  private readonly membership = new EntryMembership();

  private readonly renewal: LeaseRenewal;

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: ControlSubscriptionOptions) {
    this.renewal = new LeaseRenewal(options, () => ({
      heldVersion: this.held?.version, membership: this.membership.revision,
    }));
    this.timer = setInterval(() => this.renewIfDue(), TICK_MS);
  }

  /** The latest configuration, undefined while this entry may not dispatch. */
  get latest(): VersionedConfiguration | undefined {
    if (this.options.clock() >= this.leaseUntilMs) return undefined;
    const { held } = this;
    return held !== undefined && held.version >= this.confirmedVersion ? held : undefined;
  }

  /** Whether the entry holds a configuration, in force or not. */
  get hasConfiguration(): boolean {
    return this.held !== undefined;
  }

  /** All entries that hold a lease, this one included. */
  get entries(): readonly VmIdentity[] {
    return this.membership.entries;
  }

  onOpen(_session: VmSession, peer: VmIdentity): void {
    if (peer.roles.includes('control')) this.renewal.hasten();
  }

  onMessage(session: VmSession, message: VmMessage): void {
    if (message.kind === 'leaseGrant') this.takeGrant(message);
    if (message.kind === 'configuration') {
      this.takeConfiguration(message.latest);
      session.send({ kind: 'configurationHeld', version: message.latest.version });
    }
    if (message.kind === 'membership') this.takeMembership(message);
  }

  onClose(): void {}

  /** Asks for the lease if it is time to. */
  renewIfDue(): void {
    this.renewal.renewIfDue();
  }

  /** Gives the lease back: this entry dispatches nothing from now on. */
  release(): void {
    this.close();
    this.leaseUntilMs = -Infinity;
    this.options.hub.sendToControl({ kind: 'leaseRelease' });
  }

  /** Stops renewing. */
  close(): void {
    clearInterval(this.timer);
  }

  private takeGrant(grant: LeaseGrant): void {
    const askedAtMs = this.renewal.takeGrant(grant.nonce, grant.leader);
    if (askedAtMs === undefined) return;
    this.confirmedVersion = Math.max(this.confirmedVersion, grant.version);
    if (grant.configuration !== undefined) this.takeConfiguration(grant.configuration);
    // The leader's answer was true at some moment after this entry asked, and not later.
    this.leaseUntilMs = Math.max(this.leaseUntilMs, askedAtMs + leaseTiming.leaseMs);
    this.takeMembership({ change: grant.membership });
  }

  private takeConfiguration(latest: VersionedConfiguration): void {
    // A version never goes backwards: a control VM that lags may still send an older one.
    if (this.held !== undefined && latest.version <= this.held.version) return;
    this.held = latest;
    this.options.listener.onConfiguration(latest);
  }

  private takeMembership({ change }: Parameters<EntryMembership['take']>[0]): void {
    if (change === undefined || !this.membership.take({ change })) return;
    this.options.listener.onMembership(this.entries, change);
  }
}
