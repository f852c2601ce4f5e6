import { randomBytes, timingSafeEqual } from 'node:crypto';
import type { Socket } from 'node:net';
import { performance } from 'node:perf_hooks';

import ByteBudget from '@guavayard/core/limits/ByteBudget';

import computeProof from './computeProof';
import decodeFrame from './decodeFrame';
import encodeFrame from './encodeFrame';
import findFrameLimit from './findFrameLimit';
import findMessageLimit from './findMessageLimit';
import FrameDecoder from './FrameDecoder';
import frameLimits from './frameLimits';
import Handshake from './Handshake';
import handshakeLimits from './handshakeLimits';
import type SessionHandler from './SessionHandler';
import type SessionOptions from './SessionOptions';
import type SessionTiming from './SessionTiming';
import type VmIdentity from './VmIdentity';
import VmMessage from '../messages/VmMessage';

/** The timeout spans several heartbeats, so that one late message does not close a session. */
const DEFAULT_TIMING: SessionTiming = { heartbeatMs: 500, timeoutMs: 2000 };

type Role = 'client' | 'server';

/** One authenticated connection to another VM. It owns its socket. */
export default class VmSession {
  peer: VmIdentity | undefined;

  private readonly decoder: FrameDecoder;

  private readonly nonce = randomBytes(handshakeLimits.nonceBytes).toString('hex');

  private peerNonce: string | undefined;

  private isOpen = false;

  private isClosed = false;

  private readonly handshakeTimer: NodeJS.Timeout;

  private heartbeatTimer: NodeJS.Timeout | undefined;

  private lastSentMs = 0;

  private lastReceivedMs = 0;

  constructor(
    private readonly socket: Socket,
    private readonly role: Role,
    private readonly key: string,
    private readonly identity: VmIdentity,
    private readonly handler: SessionHandler,
    private readonly options: SessionOptions = {},
  ) {
    this.decoder = new FrameDecoder(
      frameLimits.handshakeBytes,
      options.budget ?? new ByteBudget(frameLimits.pendingBytes),
    );
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('error', (err) => this.close(err.message));
    socket.on('close', () => this.close('connection closed'));
    this.handshakeTimer = setTimeout(
      () => this.close('handshake timed out'),
      handshakeLimits.timeoutMs,
    );
    socket.write(encodeFrame({ kind: 'hello', nonce: this.nonce, identity } satisfies Handshake));
  }

  /**
   * Sends a message to the peer. Messages on a closed session are dropped.
   *
   * @param message - the message to send
   * @returns false if the session is not open
   */
  send(message: VmMessage): boolean {
    if (!this.isOpen || this.isClosed) return false;
    this.sendFrame(encodeFrame(message));
    return true;
  }

  /**
   * Sends a message that is encoded already, so that one encoding serves many sessions.
   *
   * @param frame - the frame of the message; dropped if the session is closed
   */
  sendFrame(frame: Buffer): void {
    if (!this.isOpen || this.isClosed) return;
    this.lastSentMs = performance.now();
    this.socket.write(frame);
  }

  /**
   * Closes the session and destroys its socket.
   *
   * @param reason - why the session is closed, for logs
   */
  close(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    clearTimeout(this.handshakeTimer);
    clearInterval(this.heartbeatTimer);
    this.decoder.close();
    this.socket.destroy();
    try {
      this.handler.onClose(this, reason);
    } catch (err) {
      this.handler.onError?.(this, err as Error);
    }
  }

  /** Handles received bytes. No exception leaves it, as it would end the process. */
  private receive(chunk: Buffer): void {
    try {
      this.receiveChunk(chunk);
    } catch (err) {
      this.handler.onError?.(this, err as Error);
      this.close(`unexpected error: ${(err as Error).message}`);
    }
  }

  private receiveChunk(chunk: Buffer): void {
    if (this.isClosed) return;
    this.lastReceivedMs = performance.now();
    const added = this.decoder.push(chunk);
    if (added.err) {
      this.close(added.val);
      return;
    }
    while (!this.isClosed) {
      // One at a time, because the frame that completes the handshake changes the limits.
      const frame = this.decoder.next();
      if (frame.err) this.close(frame.val);
      else if (frame.val === undefined) return;
      else this.receiveFrame(frame.val);
    }
  }

  private receiveFrame(frame: Buffer): void {
    let value: unknown;
    try {
      value = decodeFrame(frame);
    } catch (err) {
      this.close(`frame is not CBOR: ${(err as Error).message}`);
      return;
    }
    if (this.isOpen) this.receiveMessage(value, frame.length);
    else this.receiveHandshake(value);
  }

  private receiveMessage(value: unknown, bytes: number): void {
    if (bytes > findMessageLimit(value)) {
      this.close(`message of ${bytes} bytes is too long for its kind`);
      return;
    }
    const message = VmMessage.safeParse(value);
    if (!message.success) {
      this.close(`message is malformed: ${message.error.message}`);
      return;
    }
    if (message.data.kind === 'heartbeat') return;
    this.handler.onMessage(this, message.data);
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
    const mistake = this.options.checkPeer?.(this.socket, peer);
    if (mistake !== undefined) {
      this.close(mistake);
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
    if (!timingSafeEqual(Buffer.from(expected, 'hex'), Buffer.from(proof, 'hex'))) {
      this.close('peer does not know the shared key');
      return;
    }
    clearTimeout(this.handshakeTimer);
    this.isOpen = true;
    this.decoder.acceptMessages(findFrameLimit(this.identity, this.peer));
    // After a standstill, what has arrived meanwhile is read before the time counts.
    this.heartbeatTimer = setInterval(
      () => setImmediate(() => this.checkLiveness()),
      this.timing.heartbeatMs,
    );
    this.handler.onOpen(this, this.peer);
  }

  private get timing(): SessionTiming {
    return this.options.timing ?? DEFAULT_TIMING;
  }

  /**
   * Closes the session if the peer has sent nothing within the timeout, as a network partition
   * closes no connection. Sends a heartbeat if the session is idle.
   */
  private checkLiveness(): void {
    if (this.isClosed) return;
    const nowMs = performance.now();
    if (nowMs - this.lastReceivedMs >= this.timing.timeoutMs) {
      this.close(`nothing received for ${this.timing.timeoutMs} ms`);
      return;
    }
    if (nowMs - this.lastSentMs >= this.timing.heartbeatMs) this.send({ kind: 'heartbeat' });
  }
}
