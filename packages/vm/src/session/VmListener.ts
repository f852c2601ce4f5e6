import type { Server, Socket } from 'node:net';

import type ByteBudget from '@guavayard/core/limits/ByteBudget';

import frameLimits from './frameLimits';
import type SessionHandler from './SessionHandler';
import type SessionTransport from './SessionTransport';
import TcpTransport from './TcpTransport';
import type VmIdentity from './VmIdentity';
import VmSession from './VmSession';

/** Accepts sessions from other VMs. It owns its server socket. */
export default class VmListener {
  private readonly server: Server;

  private readonly sessions = new Set<VmSession>();

  private readonly pending = new Set<VmSession>();

  constructor(
    private readonly key: string,
    private readonly identity: VmIdentity,
    private readonly handler: SessionHandler,
    private readonly transport: SessionTransport = new TcpTransport(),
    private readonly budget?: ByteBudget,
  ) {
    this.server = transport.createServer((socket) => this.accept(socket));
  }

  /** The server, which the caller binds to an address. */
  get netServer(): Server {
    return this.server;
  }

  /** Stops accepting sessions and closes the open ones. */
  close(): void {
    this.server.close();
    this.sessions.forEach((session) => session.close('shutting down'));
  }

  private accept(socket: Socket): void {
    if (this.pending.size >= frameLimits.pendingHandshakes) {
      socket.destroy();
      return;
    }
    const session = new VmSession(socket, 'server', this.key, this.identity, {
      onOpen: (opened, peer) => {
        this.pending.delete(opened);
        this.handler.onOpen(opened, peer);
      },
      onMessage: (opened, message) => this.handler.onMessage(opened, message),
      onClose: (closed, reason) => {
        this.sessions.delete(closed);
        this.pending.delete(closed);
        this.handler.onClose(closed, reason);
      },
      onError: (failed, err) => this.handler.onError?.(failed, err),
    }, {
      budget: this.budget,
      checkPeer: (connected, peer) => this.transport.checkPeer(connected, peer),
    });
    this.sessions.add(session);
    this.pending.add(session);
  }
}
