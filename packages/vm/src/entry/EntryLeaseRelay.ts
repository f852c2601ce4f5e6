import type Clock from '@guavayard/core/types/Clock';

import LeaseRelay from '../control/LeaseRelay';
import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmHub from '../session/VmHub';
import type VmSession from '../session/VmSession';

/** Relays the lease renewals of entries that cannot reach control, on a VM without that role. */
export default class EntryLeaseRelay implements SessionHandler {
  private readonly relay: LeaseRelay;

  constructor(private readonly hub: VmHub, clock: Clock) {
    this.relay = new LeaseRelay(hub, clock);
  }

  onOpen(): void {}

  onMessage(session: VmSession, message: VmMessage): void {
    if (message.kind === 'leaseGrant') this.relay.returnGrant(message);
    if (message.kind !== 'leaseRequest') return;
    this.relay.forward(session, message, this.hub.namesOf('control'));
  }

  onClose(): void {}
}
