import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type AskLimits from '@guavayard/core/relay/AskLimits';
import AvoidedPeers from '@guavayard/core/relay/AvoidedPeers';
import rankPeers from '@guavayard/core/relay/rankPeers';
import relayLimits from '@guavayard/core/relay/relayLimits';
import type RelayHandler from '@guavayard/core/relay/RelayHandler';
import type RelayRequest from '@guavayard/core/relay/RelayRequest';
import type RequestRelay from '@guavayard/core/relay/RequestRelay';
import type Clock from '@guavayard/core/types/Clock';

import type VmMessage from '../messages/VmMessage';
import type VmLocation from '../registry/VmLocation';
import type SessionHandler from '../session/SessionHandler';
import type VmHub from '../session/VmHub';
import type VmIdentity from '../session/VmIdentity';
import type VmSession from '../session/VmSession';
import OutgoingRelay from './OutgoingRelay';
import PeerSessions from './PeerSessions';

interface RelayClientOptions {
  readonly hub: VmHub;
  readonly identity: VmIdentity;
  readonly clock: Clock;
  /** How long entries are asked; by default the limits of `relayLimits`. */
  readonly askLimits?: AskLimits;
  /** Returns the entries of the system. */
  readonly entries: () => readonly VmLocation[];
  /** Called with the name of an entry that has not taken a request, and the reason. */
  readonly onRefusal: (entryName: string, reason: string) => void;
}

/** Relays requests of this entry to other entries, over the sessions between VMs. */
export default class RelayClient implements SessionHandler, RequestRelay {
  private readonly sessions: PeerSessions;

  private readonly relays = new Map<number, OutgoingRelay>();

  private readonly avoided = new AvoidedPeers();

  private nextId = 0;

  constructor(private readonly options: RelayClientOptions) {
    this.sessions = new PeerSessions(options.hub, options.clock);
    options.hub.addHandler(this);
  }

  send(request: RelayRequest, handler: RelayHandler): Dispatch {
    const { clock, identity, askLimits = relayLimits } = this.options;
    const id = this.nextId;
    const { service } = request.head;
    const avoided = this.avoided.list(service, clock());
    this.nextId += 1;
    const relay = new OutgoingRelay(id, request, handler, {
      clock,
      askLimits,
      sessions: this.sessions,
      region: identity.region,
      peers: rankPeers(this.options.entries(), {
        own: identity,
        homeRegions: request.homeRegions,
        avoided,
        inProgress: this.countInProgress(),
        nowMs: clock(),
      }),
      // With no entry left to ask, what the last ones said decides.
      reason: [...avoided.values()].find(({ isFirm }) => isFirm)?.reason ?? 'no entry',
      onRefusal: (peer, reason) => {
        this.avoided.record(peer.name, service, reason, clock());
        this.options.onRefusal(peer.name, reason);
      },
      onGrant: ({ name }) => this.avoided.forget(name, service),
      onEnd: () => this.relays.delete(id),
    });
    this.relays.set(id, relay);
    relay.askNext();
    return relay;
  }

  /** Ends the upkeep of sessions with other entries. */
  close(): void {
    this.sessions.close();
  }

  onOpen(session: VmSession, peer: VmIdentity): void {
    this.sessions.onOpen(session, peer);
  }

  onMessage(session: VmSession, message: VmMessage): void {
    if (!('relayId' in message)) return;
    this.sessions.onMessage(session);
    this.relays.get(message.relayId)?.receive(session, message);
  }

  onClose(session: VmSession): void {
    this.sessions.onClose(session);
    [...this.relays.values()].forEach((relay) => relay.handleClose(session));
  }

  private countInProgress(): Map<string, number> {
    const counts = new Map<string, number>();
    this.relays.forEach(({ peer }) => {
      if (peer !== undefined) counts.set(peer.name, (counts.get(peer.name) ?? 0) + 1);
    });
    return counts;
  }
}
