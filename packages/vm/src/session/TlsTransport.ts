import { X509Certificate } from 'node:crypto';
import { readFileSync } from 'node:fs';
import type { Server, Socket } from 'node:net';
import {
  checkServerIdentity,
  connect,
  createSecureContext,
  createServer,
  TLSSocket,
  type Server as TlsServer,
} from 'node:tls';

import splitHostPort from '@guavayard/core/utils/splitHostPort';

import handshakeLimits from './handshakeLimits';
import type SessionTransport from './SessionTransport';
import type TlsFiles from './TlsFiles';
import type VmIdentity from './VmIdentity';

interface Credentials {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca: Buffer;
}

/** @throws Error if the bytes do not begin with a certificate */
function readCertificate(bytes: Buffer): X509Certificate {
  return new X509Certificate(bytes);
}

function readCredentials(files: TlsFiles): Credentials {
  const credentials = {
    cert: readFileSync(files.certificateFile),
    key: readFileSync(files.keyFile),
    ca: readFileSync(files.authorityFile),
  };
  // Checked here, as a file that is still being written must not come into use.
  createSecureContext(credentials);
  // The context takes a file without certificates, with which no peer would be trusted.
  readCertificate(credentials.ca);
  return credentials;
}

/**
 * Carries sessions over mutual TLS. Both sides must have a certificate of the system's authority
 * that names the address of their VM.
 */
export default class TlsTransport implements SessionTransport {
  private credentials: Credentials;

  private readonly servers: TlsServer[] = [];

  /**
   * @param files - paths of the certificate, its key and the authority's certificate
   * @throws Error if a file cannot be read or is invalid
   */
  constructor(private readonly files: TlsFiles) {
    this.credentials = readCredentials(files);
  }

  /**
   * Reads the files again. Sessions that are opened from then on use them.
   *
   * @throws Error if a file cannot be read or is invalid; the former credentials stay in use
   */
  reload(): void {
    const credentials = readCredentials(this.files);
    this.servers.forEach((server) => server.setSecureContext(credentials));
    this.credentials = credentials;
  }

  createServer(onSocket: (socket: Socket) => void): Server {
    const server = createServer({
      ...this.credentials,
      requestCert: true,
      rejectUnauthorized: true,
      handshakeTimeout: handshakeLimits.timeoutMs,
      // A resumed session would not present the peer's certificate.
      sessionTimeout: 1,
    }, onSocket);
    // The connection is closed; the peer's handshake times out or fails.
    server.on('tlsClientError', () => undefined);
    this.servers.push(server);
    return server;
  }

  connect(address: string): Socket {
    return connect({ ...splitHostPort(address), ...this.credentials });
  }

  checkPeer(socket: Socket, peer: VmIdentity): string | undefined {
    if (!(socket instanceof TLSSocket) || !socket.authorized) return 'peer has no valid certificate';
    const { host } = splitHostPort(peer.address);
    const err = checkServerIdentity(host, socket.getPeerCertificate());
    return err === undefined ? undefined : `certificate of the peer does not name ${host}`;
  }
}
