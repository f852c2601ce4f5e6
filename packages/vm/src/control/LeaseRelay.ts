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

/** Hands renewals of other VMs on towards the leader, and the grants back. */
export default class LeaseRelay {
  private readonly requests = new Map<string, RelayedRequest>();

  constructor(private readonly hub: VmHub, private readonly clock: Clock) {}

  /**
   * Hands a request on.
   *
   * @param session - the session that it came from
   * @param request - the request
   * @param vmNames - where to
   */
  forward(session: VmSession, request: LeaseRequest, vmNames: readonly string[]): void {
    if (request.relays >= MAX_RELAYS) return;
    this.expire();
    this.requests.set(request.nonce, { session, atMs: this.clock() });
    const entry = request.entry ?? session.peer;
    const relayed = { ...request, entry, relays: request.relays + 1 };
    vmNames
      .filter((vmName) => vmName !== session.peer?.name)
      .forEach((vmName) => this.hub.send(vmName, relayed));
  }

  /**
   * Hands a grant back to where its request came from. The first grant is as good as another.
   *
   * @param grant - the grant
   */
  giveBack(grant: LeaseGrant): void {
    this.requests.get(grant.nonce)?.session.send(grant);
    this.requests.delete(grant.nonce);
  }

  private expire(): void {
    const oldestMs = this.clock() - leaseTiming.leaseMs;
    this.requests.forEach((request, nonce) => {
      if (request.atMs < oldestMs) this.requests.delete(nonce);
    });
  }
}
