import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

import type SessionHandler from '../session/SessionHandler';
import type VmMessage from '../session/VmMessage';
import type VmSession from '../session/VmSession';

/** Keeps an entry at the latest configuration that any control VM has told it. */
export default class ConfigurationSubscription implements SessionHandler {
  /** The latest configuration, undefined until the first one arrives. */
  latest: VersionedConfiguration | undefined;

  constructor(private readonly onChange: (latest: VersionedConfiguration) => void) {}

  onOpen(session: VmSession): void {
    session.send({ kind: 'subscribe' });
  }

  onMessage(session: VmSession, message: VmMessage): void {
    if (message.kind !== 'configuration') return;
    // A version never goes backwards: a control VM that lags may still send an older one.
    if (this.latest !== undefined && message.latest.version <= this.latest.version) return;
    this.latest = message.latest;
    this.onChange(message.latest);
  }

  onClose(): void {}
}
