import type ByteBudget from '@guavayard/core/limits/ByteBudget';

import ReconnectPolicy from './ReconnectPolicy';
import type SessionHandler from './SessionHandler';
import type SessionTransport from './SessionTransport';
import TcpTransport from './TcpTransport';
import type VmIdentity from './VmIdentity';
import VmSession from './VmSession';

/** Maintains one session to a VM, and reconnects when it is lost. */
export default class VmConnector {
  private session: VmSession | undefined;

  private timer: NodeJS.Timeout | undefined;

  private connectTimer: NodeJS.Timeout | undefined;

  private readonly policy = new ReconnectPolicy();

  private hasTimedOut = false;

  private isClosed = false;

  constructor(
    private readonly address: string,
    private readonly key: string,
    private readonly identity: VmIdentity,
    private readonly handler: SessionHandler,
    private readonly transport: SessionTransport = new TcpTransport(),
    private readonly budget?: ByteBudget,
  ) {}

  /** Connects, and reconnects after each loss until `close`. */
  start(): void {
    const socket = this.transport.connect(this.address);
    this.hasTimedOut = false;
    this.connectTimer = setTimeout(() => {
      this.hasTimedOut = true;
      this.session?.close('no connection in time');
    }, this.policy.connectTimeoutMs);
    socket.once('connect', () => clearTimeout(this.connectTimer));
    this.session = new VmSession(socket, 'client', this.key, this.identity, {
      onOpen: (session, peer) => {
        clearTimeout(this.connectTimer);
        this.policy.recordOpened();
        this.handler.onOpen(session, peer);
      },
      onMessage: (session, message) => this.handler.onMessage(session, message),
      onClose: (session, reason) => {
        this.scheduleReconnect();
        this.handler.onClose(session, reason);
      },
      onError: (session, err) => this.handler.onError?.(session, err),
    }, {
      budget: this.budget,
      checkPeer: (connected, peer) => this.transport.checkPeer(connected, peer),
    });
  }

  /** Ends the session and opens a new one. */
  reopen(): void {
    this.session?.close('opened anew');
  }

  /** Ends the session and stops reconnecting. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
    clearTimeout(this.connectTimer);
    this.session?.close('shutting down');
  }

  private scheduleReconnect(): void {
    clearTimeout(this.connectTimer);
    if (this.isClosed) return;
    this.timer = setTimeout(() => this.start(), this.policy.recordLoss(this.hasTimedOut));
  }
}
