import { randomBytes, timingSafeEqual } from 'node:crypto';
import type { Socket } from 'node:net';

import { decode } from 'cbor-x';

import computeProof from './computeProof';
import encodeFrame from './encodeFrame';
import FrameDecoder from './FrameDecoder';
import Handshake from './Handshake';
import type SessionHandler from './SessionHandler';
import type VmIdentity from './VmIdentity';
import VmMessage from '../messages/VmMessage';

const NONCE_BYTES = 16;
/** Longest time from connect until both sides have proved the shared key. */
const HANDSHAKE_TIMEOUT_MS = 5000;
/** Time without a message of its own after which a side says that it is there. */
const PING_INTERVAL_MS = 2000;
/** Silence after which the peer is taken to be cut off: TCP alone would wait for minutes. */
const SILENCE_TIMEOUT_MS = 6000;
/** Bytes that may wait for a peer that does not read. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;

type Role = 'client' | 'server';

/** One authenticated connection to another VM. It owns its socket. */
export default class VmSession {
  peer: VmIdentity | undefined;

  private readonly decoder = new FrameDecoder();

  private readonly nonce = randomBytes(NONCE_BYTES).toString('hex');

  private peerNonce: string | undefined;

  private isOpen = false;

  private isClosed = false;

  private readonly handshakeTimer: NodeJS.Timeout;

  private pingTimer: NodeJS.Timeout | undefined;

  private hasSent = false;

  private silentMs = 0;

  constructor(
    private readonly socket: Socket,
    private readonly role: Role,
    private readonly key: string,
    identity: VmIdentity,
    private readonly handler: SessionHandler,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('error', (err) => this.close(err.message));
    socket.on('close', () => this.close('connection closed'));
    this.handshakeTimer = setTimeout(() => this.close('handshake timed out'), HANDSHAKE_TIMEOUT_MS);
    socket.write(encodeFrame({ kind: 'hello', nonce: this.nonce, identity } satisfies Handshake));
  }

  /**
   * Sends a message to the peer. Messages on a closed session are dropped.
   *
   * @param message - the message
   */
  send(message: VmMessage): void {
    if (!this.isOpen || this.isClosed) return;
    this.hasSent = true;
    this.socket.write(encodeFrame(message));
    if (this.socket.writableLength > MAX_BUFFERED_BYTES) this.close('peer does not read');
  }

  /**
   * Ends the session and destroys its socket.
   *
   * @param reason - why, for logs
   */
  close(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    clearTimeout(this.handshakeTimer);
    clearInterval(this.pingTimer);
    this.socket.destroy();
    this.handler.onClose(this, reason);
  }

  private keepAlive(): void {
    this.silentMs += PING_INTERVAL_MS;
    if (this.silentMs > SILENCE_TIMEOUT_MS) {
      this.close('peer is silent');
      return;
    }
    if (!this.hasSent) this.send({ kind: 'ping' });
    this.hasSent = false;
  }

  private receive(chunk: Buffer): void {
    this.silentMs = 0;
    const frames = this.decoder.push(chunk);
    if (frames.err) {
      this.close(frames.val);
      return;
    }
    frames.val.forEach((frame) => this.receiveFrame(frame));
  }

  private receiveFrame(frame: Buffer): void {
    if (this.isClosed) return;
    let value: unknown;
    try {
      value = decode(frame);
    } catch (err) {
      this.close(`frame is not CBOR: ${(err as Error).message}`);
      return;
    }
    if (this.isOpen) this.receiveMessage(value);
    else this.receiveHandshake(value);
  }

  private receiveMessage(value: unknown): void {
    const message = VmMessage.safeParse(value);
    if (!message.success) {
      this.close(`message is malformed: ${message.error.message}`);
      return;
    }
    if (message.data.kind !== 'ping') this.handler.onMessage(this, message.data);
  }

  private receiveHandshake(value: unknown): void {
    const handshake = Handshake.safeParse(value);
    if (!handshake.success) {
      this.close('handshake is malformed');
      return;
    }
    if (handshake.data.kind === 'hello') this.receiveHello(handshake.data.nonce, handshake.data.identity);
    else this.receiveProof(handshake.data.proof);
  }

  private receiveHello(peerNonce: string, peer: VmIdentity): void {
    if (this.peerNonce !== undefined) {
      this.close('second hello');
      return;
    }
    this.peerNonce = peerNonce;
    this.peer = peer;
    const proof = computeProof(this.key, this.role, this.nonce, peerNonce);
    this.socket.write(encodeFrame({ kind: 'proof', proof } satisfies Handshake));
  }

  private receiveProof(proof: string): void {
    if (this.peerNonce === undefined || this.peer === undefined) {
      this.close('proof before hello');
      return;
    }
    const peerRole: Role = this.role === 'client' ? 'server' : 'client';
    const expected = computeProof(this.key, peerRole, this.peerNonce, this.nonce);
    if (!timingSafeEqual(Buffer.from(expected), Buffer.from(proof))) {
      this.close('peer does not know the shared key');
      return;
    }
    clearTimeout(this.handshakeTimer);
    this.isOpen = true;
    this.pingTimer = setInterval(() => this.keepAlive(), PING_INTERVAL_MS);
    this.handler.onOpen(this, this.peer);
  }
}
