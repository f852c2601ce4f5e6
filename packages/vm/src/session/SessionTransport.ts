import type { Server, Socket } from 'node:net';

import type VmIdentity from './VmIdentity';

/** Opens and accepts the connections that carry sessions. */
interface SessionTransport {
  /**
   * Creates a server, which the caller binds to an address.
   *
   * @param onSocket - receives each accepted connection
   */
  createServer: (onSocket: (socket: Socket) => void) => Server;
  /**
   * Connects to another VM.
   *
   * @param address - its session address
   */
  connect: (address: string) => Socket;
  /**
   * Checks whether a connection may carry a session with a peer.
   *
   * @returns why it may not, undefined if it may
   */
  checkPeer: (socket: Socket, peer: VmIdentity) => string | undefined;
}

export default SessionTransport;
