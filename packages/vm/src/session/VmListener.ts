import { createServer, type Server } from 'node:net';

import type SessionHandler from './SessionHandler';
import type VmIdentity from './VmIdentity';
import VmSession from './VmSession';

/** Accepts sessions from other VMs. It owns its server socket. */
export default class VmListener {
  private readonly server: Server;

  private readonly sessions = new Set<VmSession>();

  constructor(key: string, identity: VmIdentity, handler: SessionHandler) {
    const tracked: SessionHandler = {
      onOpen: (session, peer) => handler.onOpen(session, peer),
      onMessage: (session, message) => handler.onMessage(session, message),
      onClose: (session, reason) => {
        this.sessions.delete(session);
        handler.onClose(session, reason);
      },
    };
    this.server = createServer((socket) => {
      this.sessions.add(new VmSession(socket, 'server', key, identity, tracked));
    });
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
}
