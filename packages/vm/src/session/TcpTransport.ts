import {
  connect, createServer, type Server, type Socket,
} from 'node:net';

import splitHostPort from '@guavayard/core/utils/splitHostPort';

import type SessionTransport from './SessionTransport';

/** Carries sessions over TCP without encryption; the shared key alone admits a peer. */
export default class TcpTransport implements SessionTransport {
  createServer(onSocket: (socket: Socket) => void): Server {
    return createServer(onSocket);
  }

  connect(address: string): Socket {
    return connect(splitHostPort(address));
  }

  checkPeer(): undefined {
    return undefined;
  }
}
