import type ConfigurationEnforcement from '@guavayard/core/configuration/ConfigurationEnforcement';
import createLeaseTable from '@guavayard/core/lease/createLeaseTable';
import expireLeases from '@guavayard/core/lease/expireLeases';
import findInForceVersion from '@guavayard/core/lease/findInForceVersion';
import type LeaseTable from '@guavayard/core/lease/LeaseTable';
import recordHeldVersion from '@guavayard/core/lease/recordHeldVersion';
import releaseLease from '@guavayard/core/lease/releaseLease';
import renewLease from '@guavayard/core/lease/renewLease';
import type Clock from '@guavayard/core/types/Clock';
import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmHub from '../session/VmHub';
import type VmIdentity from '../session/VmIdentity';
import type VmSession from '../session/VmSession';
import type ConsensusTask from './ConsensusTask';
import createMembershipChange from './createMembershipChange';
import LeaseRelay from './LeaseRelay';
import type MembershipRevision from './MembershipRevision';

const EXPIRY_INTERVAL_MS = 100;

type LeaseRequest = Extract<VmMessage, { kind: 'leaseRequest' }>;

interface LeaseTaskOptions {
  readonly hub: VmHub;
  readonly clock: Clock;
  readonly vmName: string;
  readonly consensus: ConsensusTask;
  /** @returns the latest configuration that is committed and applied here */
  readonly latest: () => VersionedConfiguration;
}

/** An entry with a direct session to the leader. */
interface Subscriber {
  readonly session: VmSession;
  /** The latest revision of the lease table that was sent to it. */
  membership: MembershipRevision | undefined;
}

/** Grants the leases of entries while this VM leads, and relays renewals while another does. */
export default class LeaseTask implements SessionHandler {
  private table: LeaseTable<VmIdentity> | undefined;

  private readonly subscribers = new Map<string, Subscriber>();

  private readonly relay: LeaseRelay;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LeaseTaskOptions) {
    this.relay = new LeaseRelay(options.hub, options.clock);
  }

  /** Starts expiring leases that were not renewed. */
  start(): void {
    this.timer = setInterval(() => this.expire(), EXPIRY_INTERVAL_MS);
  }

  /** Stops expiring leases; entries stop dispatching when theirs end. */
  close(): void {
    clearInterval(this.timer);
  }

  onOpen(): void {}

  onMessage(session: VmSession, message: VmMessage): void {
    if (message.kind === 'leaseRequest') this.handleRequest(session, message);
    if (message.kind === 'leaseGrant') this.relay.returnGrant(message);
    if (message.kind === 'leaseRelease') this.release(session);
    if (message.kind === 'configurationHeld') this.handleHeldVersion(session, message.version);
  }

  onClose(session: VmSession): void {
    this.subscribers.forEach((subscriber, startId) => {
      if (subscriber.session === session) this.subscribers.delete(startId);
    });
  }

  /** Creates a new lease table when this VM becomes the leader, and drops it when it steps down. */
  onLeader(): void {
    const { consensus, clock } = this.options;
    this.subscribers.clear();
    this.table = consensus.isLeader ? createLeaseTable(consensus.term, clock()) : undefined;
  }

  /** Pushes the latest configuration to all subscribers without waiting for their next renewal. */
  publish(): void {
    const latest = this.options.latest();
    this.subscribers.forEach(({ session }) => session.send({ kind: 'configuration', latest }));
  }

  /** @returns the version that each entry dispatches under, undefined if this VM does not lead */
  enforcement(): ConfigurationEnforcement | undefined {
    const { table } = this;
    if (table === undefined) return undefined;
    expireLeases(table, this.options.clock());
    const { version } = this.options.latest();
    return {
      version,
      inForceVersion: findInForceVersion(table, version),
      leader: this.options.vmName,
      term: table.term,
      voters: this.options.consensus.voterNames,
      learners: this.options.consensus.learnerNames,
      entries: [...table.leases.values()]
        .map(({ holder, heldVersion }) => ({ name: holder.name, heldVersion })),
    };
  }

  private handleRequest(session: VmSession, request: LeaseRequest): void {
    const { consensus } = this.options;
    if (!consensus.isLeader) {
      const { leaderName } = consensus;
      if (leaderName !== undefined) this.relay.forward(session, request, [leaderName]);
      return;
    }
    consensus.awaitReadPoint().then((isConfirmed) => {
      if (isConfirmed) this.grant(session, request);
    }).catch(() => undefined);
  }

  private grant(session: VmSession, request: LeaseRequest): void {
    const { table } = this;
    const holder = request.entry ?? session.peer;
    if (table === undefined || holder === undefined) return;
    const isNew = renewLease(table, holder, request.heldVersion, this.options.clock());
    const latest = this.options.latest();
    const membership = createMembershipChange(table, request.membership);
    session.send({
      kind: 'leaseGrant',
      nonce: request.nonce,
      version: latest.version,
      leader: this.options.vmName,
      configuration: (request.heldVersion ?? -1) < latest.version ? latest : undefined,
      membership,
    });
    if (request.relays === 0) {
      this.subscribers.set(holder.startId, {
        session, membership: membership?.revision ?? request.membership,
      });
    }
    if (isNew) this.publishMembership();
  }

  private handleHeldVersion(session: VmSession, version: number): void {
    if (this.table === undefined || session.peer === undefined) return;
    recordHeldVersion(this.table, session.peer.startId, version);
  }

  private release(session: VmSession): void {
    const startId = session.peer?.startId ?? '';
    this.subscribers.delete(startId);
    if (this.table === undefined) return;
    releaseLease(this.table, startId);
    this.publishMembership();
  }

  private expire(): void {
    if (this.table === undefined) return;
    if (expireLeases(this.table, this.options.clock())) this.publishMembership();
  }

  private publishMembership(): void {
    const { table } = this;
    if (table === undefined) return;
    this.subscribers.forEach((subscriber, startId) => {
      const change = createMembershipChange(table, subscriber.membership);
      if (change === undefined) return;
      subscriber.session.send({ kind: 'membership', change });
      this.subscribers.set(startId, { ...subscriber, membership: change.revision });
    });
  }
}
