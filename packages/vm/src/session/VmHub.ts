import type { Server } from 'node:net';
import { performance } from 'node:perf_hooks';

import ByteBudget from '@guavayard/core/limits/ByteBudget';

import type VmMessage from '../messages/VmMessage';
import findProtocolVersion from './findProtocolVersion';
import frameLimits from './frameLimits';
import type HubOptions from './HubOptions';
import PeerLog from './PeerLog';
import PeerTable from './PeerTable';
import type SessionHandler from './SessionHandler';
import type SessionTransport from './SessionTransport';
import TcpTransport from './TcpTransport';
import VmConnector from './VmConnector';
import type VmIdentity from './VmIdentity';
import VmListener from './VmListener';
import type VmSession from './VmSession';

/**
 * All sessions of a VM with other VMs. It owns the listener and the connectors, and dispatches the
 * events of every session to all registered handlers; each handler ignores the kinds of messages
 * that it does not use.
 */
export default class VmHub {
  private readonly handlers: SessionHandler[] = [];

  private readonly connectors = new Map<string, VmConnector>();

  private readonly peers = new PeerTable();

  private readonly peerLog: PeerLog | undefined;

  private readonly listener: VmListener;

  private readonly transport: SessionTransport;

  private readonly budget = new ByteBudget(frameLimits.pendingBytes);

  /**
   * @param key - key shared by all VMs
   * @param identity - identity of this VM
   * @param options - by default, sessions are carried by TCP and exceptions are not reported
   */
  constructor(
    private readonly key: string,
    private readonly identity: VmIdentity,
    private readonly options: HubOptions = {},
  ) {
    const { log } = options;
    this.peerLog = log === undefined ? undefined : new PeerLog(log, () => performance.now());
    this.transport = options.transport ?? new TcpTransport();
    this.listener = new VmListener(key, identity, this.dispatcher, this.transport, this.budget);
  }

  /** The listener's server, which the caller binds to an address. */
  get netServer(): Server {
    return this.listener.netServer;
  }

  /**
   * Registers a handler for the events of all sessions.
   *
   * @param handler - called for every event from then on
   */
  addHandler(handler: SessionHandler): void {
    this.handlers.push(handler);
  }

  /**
   * Maintains a session to an address until `disconnect`.
   *
   * @param address - address at which another VM accepts sessions
   */
  connect(address: string): void {
    if (this.connectors.has(address)) return;
    const connector = new VmConnector(
      address,
      this.key,
      this.identity,
      this.dispatcher,
      this.transport,
      this.budget,
    );
    this.connectors.set(address, connector);
    connector.start();
  }

  /**
   * Opens a new session to an address, and maintains it until `disconnect`.
   *
   * @param address - address at which another VM accepts sessions
   */
  reopen(address: string): void {
    const connector = this.connectors.get(address);
    if (connector === undefined) this.connect(address);
    else connector.reopen();
  }

  /**
   * Ends the session to an address.
   *
   * @param address - address that was passed to `connect`
   */
  disconnect(address: string): void {
    this.connectors.get(address)?.close();
    this.connectors.delete(address);
  }

  /**
   * Sends a message to a VM over its newest session.
   *
   * @param vmName - name of the VM
   * @param message - the message to send
   * @returns false if there is no session with the VM
   */
  send(vmName: string, message: VmMessage): boolean {
    const session = this.peers.find(vmName);
    session?.send(message);
    return session !== undefined;
  }

  /**
   * Responds to a message, over the session that it came from or, if that has closed, over another
   * one with the same start of the VM.
   *
   * @param session - the session that the message came from
   * @param response - the response
   * @returns false if there is no such session
   */
  respond(session: VmSession, response: VmMessage): boolean {
    if (session.send(response)) return true;
    const { peer } = session;
    const other = peer === undefined ? undefined : this.peers.find(peer.name);
    // A later start of the process knows nothing of the message.
    if (other?.peer?.startId !== peer?.startId) return false;
    return other?.send(response) ?? false;
  }

  /**
   * Finds the version of the messages that a connected VM understands.
   *
   * @param vmName - name of the VM
   * @returns the version, 0 if there is no session with the VM
   */
  protocolVersionOf(vmName: string): number {
    const peer = this.peers.find(vmName)?.peer;
    return peer === undefined ? 0 : findProtocolVersion(peer);
  }

  /**
   * Lists the connected VMs of a role.
   *
   * @param role - role to look for
   * @returns the names of the VMs of that role with an open session
   */
  namesOf(role: VmIdentity['roles'][number]): string[] {
    return this.peers.list(role);
  }

  /** Lowest version of the messages that this VM and all VMs in session with it understand. */
  get sharedProtocolVersion(): number {
    return Math.min(...[this.identity, ...this.peers.identities].map(findProtocolVersion));
  }

  /** Names of the control VMs with an open session, each with the number of its sessions. */
  get controlSessions(): ReadonlyMap<string, number> {
    return new Map(this.peers.list('control').map((name) => [name, this.peers.count(name)]));
  }

  /**
   * Sends a message to every connected VM of the role `control`.
   *
   * @param message - the message to send
   * @param sinceVersion - version of the messages that has it first
   * @param older - the message for VMs that do not understand it; undefined to send them none
   */
  sendToControl(message: VmMessage, sinceVersion = 1, older?: VmMessage): void {
    this.namesOf('control').forEach((name) => {
      const understood = this.protocolVersionOf(name) >= sinceVersion ? message : older;
      if (understood !== undefined) this.send(name, understood);
    });
  }

  /** Closes all sessions and stops accepting new ones. */
  close(): void {
    this.connectors.forEach((connector) => connector.close());
    this.listener.close();
  }

  private readonly dispatcher: SessionHandler = {
    onOpen: (session, peer) => {
      if (this.peers.add(session, peer)) this.peerLog?.writeGain(peer);
      this.handlers.forEach((handler) => handler.onOpen(session, peer));
    },
    onMessage: (session, message) => {
      this.handlers.forEach((handler) => handler.onMessage(session, message));
    },
    onClose: (session, reason) => {
      const { peer } = session;
      if (this.peers.remove(session) && peer !== undefined) this.peerLog?.writeLoss(peer, reason);
      this.handlers.forEach((handler) => {
        // Each handler must learn that the session is gone, even if another one fails.
        try {
          handler.onClose(session, reason);
        } catch (err) {
          this.options.onError?.(err as Error, session);
        }
      });
    },
    onError: (session, err) => this.options.onError?.(err, session),
  };
}
