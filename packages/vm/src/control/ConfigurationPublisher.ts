import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

import type SessionHandler from '../session/SessionHandler';
import type VmMessage from '../session/VmMessage';
import type VmSession from '../session/VmSession';

/** Sends the latest configuration to every entry that subscribed. */
export default class ConfigurationPublisher implements SessionHandler {
  private readonly subscribers = new Set<VmSession>();

  private latest: VersionedConfiguration | undefined;

  onOpen(): void {}

  onMessage(session: VmSession, message: VmMessage): void {
    if (message.kind !== 'subscribe') return;
    this.subscribers.add(session);
    if (this.latest !== undefined) session.send({ kind: 'configuration', latest: this.latest });
  }

  onClose(session: VmSession): void {
    this.subscribers.delete(session);
  }

  /**
   * Sends the latest accepted configuration to every subscriber, now and later.
   *
   * @param latest - the configuration
   */
  publish(latest: VersionedConfiguration): void {
    this.latest = latest;
    this.subscribers.forEach((session) => session.send({ kind: 'configuration', latest }));
  }

  /** Names of the entries that subscribed, in the order of their sessions. */
  get subscriberNames(): string[] {
    return [...this.subscribers].flatMap((session) => session.peer?.name ?? []);
  }
}
