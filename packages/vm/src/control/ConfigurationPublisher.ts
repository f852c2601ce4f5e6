import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmIdentity from '../session/VmIdentity';
import type VmSession from '../session/VmSession';

/** Tells every subscribed entry the latest accepted configuration and the other entries. */
export default class ConfigurationPublisher implements SessionHandler {
  private readonly subscribers = new Set<VmSession>();

  private latest: VersionedConfiguration | undefined;

  onOpen(): void {}

  onMessage(session: VmSession, message: VmMessage): void {
    if (message.kind !== 'subscribe') return;
    this.subscribers.add(session);
    if (this.latest !== undefined) session.send({ kind: 'configuration', latest: this.latest });
    this.publishMembership();
  }

  onClose(session: VmSession): void {
    if (this.subscribers.delete(session)) this.publishMembership();
  }

  /**
   * Sends a newly accepted configuration to every subscriber.
   *
   * @param latest - the configuration
   */
  publish(latest: VersionedConfiguration): void {
    this.latest = latest;
    this.subscribers.forEach((session) => session.send({ kind: 'configuration', latest }));
  }

  /** The subscribed entries, in the order of their sessions. */
  get entries(): VmIdentity[] {
    return [...this.subscribers].flatMap((session) => session.peer ?? []);
  }

  private publishMembership(): void {
    const { entries } = this;
    this.subscribers.forEach((session) => session.send({ kind: 'membership', entries }));
  }
}
