import type CallerReply from '@guavayard/core/dispatch/CallerReply';
import relayLimits from '@guavayard/core/relay/relayLimits';
import type RelayedHead from '@guavayard/core/relay/RelayedHead';
import type RelayRefusal from '@guavayard/core/relay/RelayRefusal';

import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmHub from '../session/VmHub';
import type VmSession from '../session/VmSession';
import adaptFailure from './adaptFailure';
import RelayedMessage from './RelayedMessage';
import RelayedReply from './RelayedReply';

interface ServedRelay {
  readonly req: RelayedMessage;
  readonly reply: RelayedReply;
}

/** A request that another entry relays to this one. */
interface RelayedRequest {
  readonly head: RelayedHead;
  readonly req: RelayedMessage;
  readonly reply: CallerReply;
  /** Name of the entry that relays it. */
  readonly from: string;
}

interface RelayServerOptions {
  readonly hub: VmHub;
  /**
   * Decides whether this entry takes a request of a service, matched by a version of the
   * declaration; responds with the reason of a refusal or undefined.
   */
  readonly decide: (
    service: string,
    version: number,
    respond: (refusal: RelayRefusal | undefined) => void,
  ) => void;
  readonly serve: (request: RelayedRequest) => void;
}

/** Serves requests that other entries relay to this one. */
export default class RelayServer implements SessionHandler {
  private readonly served = new Map<VmSession, Map<number, ServedRelay>>();

  private readonly idleWaiters: (() => void)[] = [];

  private isStopping = false;

  constructor(private readonly options: RelayServerOptions) {
    options.hub.addHandler(this);
  }

  /** Number of relayed requests in progress. */
  get count(): number {
    return [...this.served.values()].reduce((sum, relays) => sum + relays.size, 0);
  }

  /** Refuses further requests. */
  startStopping(): void {
    this.isStopping = true;
  }

  /** Resolves once all requests that were taken have been answered. */
  async awaitIdle(): Promise<void> {
    if (this.count === 0) return;
    await new Promise<void>((resolve) => {
      this.idleWaiters.push(resolve);
    });
  }

  onOpen(): void {}

  onMessage(session: VmSession, message: VmMessage): void {
    switch (message.kind) {
      case 'relayAsk':
        this.answerAsk(session, message);
        break;
      case 'relayRequest':
        this.serve(session, message.relayId, message.head);
        break;
      case 'relayBody':
        this.find(session, message.relayId)?.req.add(Buffer.from(message.chunk), message.isLast);
        break;
      case 'relayDataRead':
        this.find(session, message.relayId)?.reply.confirmRead(message.bytes);
        break;
      case 'relayCancel':
        this.cancel(session, message.relayId);
        break;
      default:
    }
  }

  onClose(session: VmSession): void {
    [...this.served.get(session)?.keys() ?? []].forEach((id) => this.cancel(session, id));
    this.served.delete(session);
  }

  private answerAsk(
    session: VmSession,
    { relayId, service, version }: Extract<VmMessage, { kind: 'relayAsk' }>,
  ): void {
    const respond = (reason: RelayRefusal | undefined): void => {
      session.send(reason === undefined
        ? { kind: 'relayGrant', relayId }
        : { kind: 'relayRefusal', relayId, reason });
    };
    if (this.isStopping) respond('stopping');
    else if (this.count >= relayLimits.maxServed) respond('busy');
    else this.options.decide(service, version, respond);
  }

  private serve(session: VmSession, relayId: number, head: RelayedHead): void {
    const relays = this.served.get(session) ?? new Map<number, ServedRelay>();
    if (relays.has(relayId)) return;
    this.served.set(session, relays);
    const req = new RelayedMessage(head, (bytes) => {
      session.send({ kind: 'relayBodyRead', relayId, bytes });
    });
    const reply = new RelayedReply(relayId, (message) => session.send(
      message.kind === 'relayFailure'
        ? { ...message, failure: adaptFailure(message.failure, session) } : message,
    ));
    relays.set(relayId, { req, reply });
    reply.onClose(() => {
      relays.delete(relayId);
      if (this.count === 0) this.idleWaiters.splice(0).forEach((resolve) => resolve());
    });
    this.options.serve({
      head, req, reply, from: session.peer?.name ?? '',
    });
  }

  private find(session: VmSession, relayId: number): ServedRelay | undefined {
    return this.served.get(session)?.get(relayId);
  }

  private cancel(session: VmSession, relayId: number): void {
    const relay = this.find(session, relayId);
    relay?.reply.close();
    relay?.req.destroy();
  }
}
