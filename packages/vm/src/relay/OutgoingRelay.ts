import type { Readable } from 'node:stream';

import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type Failure from '@guavayard/core/errors/Failure';
import type AskLimits from '@guavayard/core/relay/AskLimits';
import type avoidPeer from '@guavayard/core/relay/avoidPeer';
import relayLimits from '@guavayard/core/relay/relayLimits';
import type RelayHandler from '@guavayard/core/relay/RelayHandler';
import type RelayRequest from '@guavayard/core/relay/RelayRequest';
import type Clock from '@guavayard/core/types/Clock';

import type VmMessage from '../messages/VmMessage';
import type VmLocation from '../registry/VmLocation';
import type VmSession from '../session/VmSession';
import understandsTenants from '../registry/understandsTenants';
import type PeerSessions from './PeerSessions';

/** Why an entry was not given a request. */
type RefusalReason = Parameters<typeof avoidPeer>[0];

interface OutgoingRelayOptions {
  readonly clock: Clock;
  readonly sessions: PeerSessions;
  readonly askLimits: AskLimits;
  /** Region of this entry. */
  readonly region: string;
  /** Entries to ask, in order. */
  readonly peers: VmLocation[];
  /** Why no entry takes the request, if there is none to ask. */
  readonly reason: string;
  /** Called with an entry that has not taken the request. */
  readonly onRefusal: (peer: VmLocation, reason: RefusalReason) => void;
  /** Called with the entry that has taken the request. */
  readonly onGrant: (peer: VmLocation) => void;
  /** Called once it is over. */
  readonly onEnd: () => void;
}

/** One request of this entry that another entry is to serve. */
export default class OutgoingRelay implements Dispatch {
  /** The entry that is asked or serves the request. */
  peer: VmLocation | undefined;

  private session: VmSession | undefined;

  private askTimer: NodeJS.Timeout | undefined;

  private stopWaiting: () => void = () => undefined;

  private isGranted = false;

  private isOver = false;

  private body: Readable | null = null;

  private bodyWindow: number = relayLimits.windowBytes;

  /** Bytes of the response that the handler has taken but not consumed. */
  private unreadBytes = 0;

  private isPaused = false;

  /** Why no entry has taken the request so far. */
  private reason: string | undefined;

  constructor(
    private readonly id: number,
    private readonly request: RelayRequest,
    private readonly handler: RelayHandler,
    private readonly options: OutgoingRelayOptions,
  ) {}

  /** Asks the next entry, or reports that none is left. */
  askNext(): void {
    clearTimeout(this.askTimer);
    this.stopWaiting();
    if (this.isOver) return;
    const peer = this.options.peers.shift();
    this.peer = peer;
    this.session = undefined;
    if (peer === undefined || this.remainingMs < relayLimits.minRemainingMs) {
      this.end();
      this.handler.onRefused(this.reason ?? this.options.reason);
      return;
    }
    const { nearAskMs, farAskMs, connectMs } = this.options.askLimits;
    const isOpen = this.options.sessions.find(peer.name) !== undefined;
    const askMs = (peer.region === this.options.region ? nearAskMs : farAskMs)
      + (isOpen ? 0 : connectMs);
    this.askTimer = setTimeout(() => this.refuse('no answer'), askMs);
    const { head: { service }, version } = this.request;
    this.stopWaiting = this.options.sessions.use(peer, (session) => {
      if (this.isOver || this.peer !== peer) return;
      if (this.request.needsKeyCheck && !understandsTenants(session)) {
        this.refuse('version');
        return;
      }
      this.session = session;
      session.send({
        kind: 'relayAsk', relayId: this.id, service, version: version(),
      });
    });
  }

  resume(): void {
    if (this.isOver || !this.isPaused) return;
    this.isPaused = false;
    this.confirmRead();
  }

  abort(reason: Failure): void {
    if (this.isOver) return;
    if (this.isGranted) this.send({ kind: 'relayCancel', relayId: this.id });
    this.end();
    this.handler.onFailure(reason, undefined);
  }

  /**
   * Handles a message about this relay.
   *
   * @param session - the session that it came from
   * @param message - the message
   */
  receive(session: VmSession, message: VmMessage): void {
    // An entry that was given up may still answer.
    if (this.isOver || session !== this.session) return;
    if (!this.isGranted) {
      if (message.kind === 'relayGrant') this.start();
      if (message.kind === 'relayRefusal') this.refuse(message.reason);
      return;
    }
    switch (message.kind) {
      case 'relayBodyRead':
        this.bodyWindow += message.bytes;
        if (this.bodyWindow > 0) this.body?.resume();
        break;
      case 'relayResponse':
        this.handler.onHeaders(message.status, message.headers);
        break;
      case 'relayData':
        this.unreadBytes += message.chunk.length;
        if (this.handler.onData(Buffer.from(message.chunk))) this.confirmRead();
        else this.isPaused = true;
        break;
      case 'relayEnd':
        this.end();
        this.handler.onEnd();
        break;
      case 'relayFailure':
        // It has lost its targets after it agreed.
        if (message.failure.kind === 'targetsUnreachable' && this.peer !== undefined) {
          this.options.onRefusal(this.peer, 'unreachable');
        }
        this.end();
        this.handler.onFailure(message.failure, message.retryAfterMs);
        break;
      default:
    }
  }

  /** Handles the end of a session. */
  handleClose(session: VmSession): void {
    if (this.isOver || session !== this.session) return;
    if (!this.isGranted) {
      this.refuse('session lost');
      return;
    }
    this.end();
    this.handler.onFailure({ kind: 'relayFailed', detail: 'the session was lost' }, undefined);
  }

  private get remainingMs(): number {
    return this.request.deadlineMs - this.options.clock();
  }

  private refuse(reason: RefusalReason): void {
    if (this.isOver || this.peer === undefined) return;
    // Other reasons pass sooner, so they decide whether the request should wait.
    if (reason !== 'unreachable') this.reason = reason;
    this.reason ??= reason;
    this.options.onRefusal(this.peer, reason);
    this.askNext();
  }

  private start(): void {
    clearTimeout(this.askTimer);
    this.isGranted = true;
    if (this.peer !== undefined) this.options.onGrant(this.peer);
    this.handler.onGranted(this.peer?.name ?? '');
    if (this.isOver) return;
    const remainingMs = Math.max(1, Math.floor(this.remainingMs - relayLimits.marginMs));
    const { head, takeAllowance } = this.request;
    this.send({
      kind: 'relayRequest',
      relayId: this.id,
      head: { ...head, remainingMs, ...takeAllowance() },
    });
    this.body = this.request.openBody();
    this.body?.on('data', (chunk: Buffer) => this.sendBody(chunk));
    this.body?.once('end', () => this.send({
      kind: 'relayBody', relayId: this.id, chunk: Buffer.alloc(0), isLast: true,
    }));
  }

  private sendBody(chunk: Buffer): void {
    if (this.isOver) return;
    const { chunkBytes } = relayLimits;
    for (let start = 0; start < chunk.length; start += chunkBytes) {
      this.send({
        kind: 'relayBody', relayId: this.id, chunk: chunk.subarray(start, start + chunkBytes), isLast: false,
      });
    }
    this.bodyWindow -= chunk.length;
    if (this.bodyWindow <= 0) this.body?.pause();
  }

  private confirmRead(): void {
    const bytes = this.unreadBytes;
    this.unreadBytes = 0;
    if (bytes > 0) this.send({ kind: 'relayDataRead', relayId: this.id, bytes });
  }

  private send(message: VmMessage): void {
    if (!this.isOver) this.session?.send(message);
  }

  private end(): void {
    this.isOver = true;
    clearTimeout(this.askTimer);
    this.stopWaiting();
    this.body?.destroy();
    this.options.onEnd();
  }
}
