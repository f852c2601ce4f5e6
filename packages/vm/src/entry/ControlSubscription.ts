import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmIdentity from '../session/VmIdentity';
import type VmSession from '../session/VmSession';
import type SubscriptionListener from './SubscriptionListener';

/** Keeps an entry at the latest configuration and membership that control has told it. */
export default class ControlSubscription implements SessionHandler {
  /** The latest configuration, undefined until the first one arrives. */
  latest: VersionedConfiguration | undefined;

  /** All entries of the system, this one included. */
  entries: readonly VmIdentity[] = [];

  constructor(private readonly listener: SubscriptionListener) {}

  onOpen(session: VmSession, peer: VmIdentity): void {
    if (peer.roles.includes('control')) session.send({ kind: 'subscribe' });
  }

  onMessage(_session: VmSession, message: VmMessage): void {
    if (message.kind === 'configuration') this.takeConfiguration(message.latest);
    if (message.kind === 'membership') this.takeMembership(message.entries);
  }

  onClose(): void {}

  private takeConfiguration(latest: VersionedConfiguration): void {
    // A version never goes backwards: a control VM that lags may still send an older one.
    if (this.latest !== undefined && latest.version <= this.latest.version) return;
    this.latest = latest;
    this.listener.onConfiguration(latest);
  }

  private takeMembership(entries: readonly VmIdentity[]): void {
    this.entries = entries;
    this.listener.onMembership(entries);
  }
}
