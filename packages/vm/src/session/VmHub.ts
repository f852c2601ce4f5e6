import type { Server } from 'node:net';

import type VmMessage from '../messages/VmMessage';
import type SessionHandler from './SessionHandler';
import VmConnector from './VmConnector';
import type VmIdentity from './VmIdentity';
import VmListener from './VmListener';
import type VmSession from './VmSession';

/**
 * All sessions of a VM with other VMs. It owns the listener and the connectors, and hands what
 * happens on any session to every registered handler; each handler takes the kinds it knows.
 */
export default class VmHub {
  private readonly handlers: SessionHandler[] = [];

  private readonly connectors = new Map<string, VmConnector>();

  private readonly sessions = new Map<string, VmSession>();

  private readonly listener: VmListener;

  /**
   * @param key - key shared by all VMs
   * @param identity - identity of this VM
   */
  constructor(private readonly key: string, private readonly identity: VmIdentity) {
    this.listener = new VmListener(key, identity, this.fanOut);
  }

  /** The listener's server, for the one place that binds addresses. */
  get netServer(): Server {
    return this.listener.netServer;
  }

  /**
   * Registers a receiver of what happens on the sessions.
   *
   * @param handler - the receiver
   */
  addHandler(handler: SessionHandler): void {
    this.handlers.push(handler);
  }

  /**
   * Keeps a session to an address until `disconnect`.
   *
   * @param address - address of another VM's listener for sessions
   */
  connect(address: string): void {
    if (this.connectors.has(address)) return;
    const connector = new VmConnector(address, this.key, this.identity, this.fanOut);
    this.connectors.set(address, connector);
    connector.start();
  }

  /**
   * Ends the session to an address.
   *
   * @param address - an address that `connect` was given
   */
  disconnect(address: string): void {
    this.connectors.get(address)?.close();
    this.connectors.delete(address);
  }

  /**
   * Sends a message to a VM over its newest session.
   *
   * @param vmName - name of the VM
   * @param message - the message
   * @returns false if there is no session with the VM
   */
  send(vmName: string, message: VmMessage): boolean {
    const session = this.sessions.get(vmName);
    session?.send(message);
    return session !== undefined;
  }

  /**
   * @param role - a role
   * @returns the names of the VMs of that role that there is a session with
   */
  namesOf(role: VmIdentity['roles'][number]): string[] {
    return [...this.sessions]
      .filter(([, session]) => session.peer?.roles.includes(role))
      .map(([name]) => name);
  }

  /**
   * Sends a message to every VM of the role `control` that there is a session with.
   *
   * @param message - the message
   */
  sendToControl(message: VmMessage): void {
    this.namesOf('control').forEach((name) => this.send(name, message));
  }

  /** Ends all sessions. */
  close(): void {
    this.connectors.forEach((connector) => connector.close());
    this.listener.close();
  }

  private readonly fanOut: SessionHandler = {
    onOpen: (session, peer) => {
      this.sessions.set(peer.name, session);
      this.handlers.forEach((handler) => handler.onOpen(session, peer));
    },
    onMessage: (session, message) => {
      this.handlers.forEach((handler) => handler.onMessage(session, message));
    },
    onClose: (session, reason) => {
      const name = session.peer?.name ?? '';
      if (this.sessions.get(name) === session) this.sessions.delete(name);
      this.handlers.forEach((handler) => handler.onClose(session, reason));
    },
  };
}
