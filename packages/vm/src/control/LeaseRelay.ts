import leaseTiming from '@guavayard/core/lease/leaseTiming';
import type Clock from '@guavayard/core/types/Clock';

import type VmMessage from '../messages/VmMessage';
import type VmHub from '../session/VmHub';
import type VmSession from '../session/VmSession';

type LeaseRequest = Extract<VmMessage, { kind: 'leaseRequest' }>;
type LeaseGrant = Extract<VmMessage, { kind: 'leaseGrant' }>;

interface RelayedRequest {
  readonly session: VmSession;
  readonly atMs: number;
}

const MAX_RELAYS = 2;

/** Relays lease renewals of other VMs towards the leader, and the grants back to them. */
export default class LeaseRelay {
  private readonly pendingRequests = new Map<string, RelayedRequest>();

  constructor(private readonly hub: VmHub, private readonly clock: Clock) {}

  /**
   * Forwards a request, unless it has been relayed `MAX_RELAYS` times already.
   *
   * @param session - the session that the request came from
   * @param request - the request to relay
   * @param vmNames - names of the VMs to forward it to; the sender itself is left out
   */
  forward(session: VmSession, request: LeaseRequest, vmNames: readonly string[]): void {
    if (request.relays >= MAX_RELAYS) return;
    this.expire();
    this.pendingRequests.set(request.nonce, { session, atMs: this.clock() });
    const entry = request.entry ?? session.peer;
    const relayed = { ...request, entry, relays: request.relays + 1 };
    vmNames
      .filter((vmName) => vmName !== session.peer?.name)
      .forEach((vmName) => this.hub.send(vmName, relayed));
  }

  /**
   * Returns a grant over the session that its request came from. Only the first grant for a nonce
   * is returned, as all of them are equivalent.
   *
   * @param grant - the grant to return
   */
  returnGrant(grant: LeaseGrant): void {
    this.pendingRequests.get(grant.nonce)?.session.send(grant);
    this.pendingRequests.delete(grant.nonce);
  }

  private expire(): void {
    const oldestMs = this.clock() - leaseTiming.leaseMs;
    this.pendingRequests.forEach((request, nonce) => {
      if (request.atMs < oldestMs) this.pendingRequests.delete(nonce);
    });
  }
}
