import QuotaBoard from '@guavayard/core/quota/QuotaBoard';
import type QuotaRule from '@guavayard/core/quota/QuotaRule';
import type DeclaredTenant from '@guavayard/core/tenants/DeclaredTenant';
import type Clock from '@guavayard/core/types/Clock';

import type VmMessage from '../messages/VmMessage';
import encodeFrame from '../session/encodeFrame';
import findProtocolVersion from '../session/findProtocolVersion';
import type SessionHandler from '../session/SessionHandler';
import type VmHub from '../session/VmHub';
import type VmIdentity from '../session/VmIdentity';
import type VmSession from '../session/VmSession';
import QUOTA_VERSION from './quotaVersion';

/** Time for which reports are gathered before they take effect, in milliseconds. */
const TICK_MS = 50;

interface QuotaControlTaskOptions {
  readonly hub: Pick<VmHub, 'sendToControl'>;
  readonly rule: QuotaRule;
  /** Returns the tenants in force, and the same array as long as they have not changed. */
  readonly tenants: () => readonly DeclaredTenant[];
  readonly clock: Clock;
}

function understandsQuotas({ peer }: VmSession): boolean {
  return peer !== undefined && findProtocolVersion(peer) >= QUOTA_VERSION;
}

/**
 * Quotas at a control VM: it adds up what its entries report, tells the other control VMs, and
 * publishes the shares of requests to admit. Without reports it sends nothing and has no timer.
 */
export default class QuotaControlTask implements SessionHandler {
  private readonly board: QuotaBoard;

  private readonly subscribers = new Set<VmSession>();

  /** Last reports that are not confirmed. */
  private readonly received = new Map<VmSession, number>();

  private timer: NodeJS.Timeout | undefined;

  private isClosed = false;

  /** @param options - the sessions, the rule, the tenants and the clock */
  constructor(private readonly options: QuotaControlTaskOptions) {
    const { rule, tenants, clock } = options;
    this.board = new QuotaBoard({ rule, tenants, startedAtMs: clock() });
  }

  /** Number of tenants whose requests are limited now. */
  get limitedCount(): number {
    return this.board.limitedCount;
  }

  /** Stops publishing. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  onOpen(session: VmSession, peer: VmIdentity): void {
    if (!peer.roles.includes('control') || !understandsQuotas(session)) return;
    const nowMs = this.options.clock();
    const state = this.board.createState(nowMs);
    // Without tenants with a rate, nothing is said about quotas.
    if (Object.keys(state.levels).length === 0) return;
    session.send({ kind: 'quotaState', state });
    const history = this.board.collectHistory(true, nowMs);
    if (history.length > 0) session.send({ kind: 'quotaHistory', history });
  }

  onMessage(session: VmSession, message: VmMessage): void {
    const { peer } = session;
    if (peer === undefined) return;
    const nowMs = this.options.clock();
    if (message.kind === 'registrySubscribe') this.subscribe(session, nowMs);
    if (message.kind === 'quotaUsage') {
      this.board.recordUsage(message.usage, message.ageMs, nowMs);
      this.received.set(session, message.sequence);
    }
    if (message.kind === 'quotaTotals') {
      this.board.recordTotals(peer.name, peer.startId, message.totals, nowMs);
    }
    if (message.kind === 'quotaState') {
      this.board.recordState(peer.name, peer.startId, message.state, nowMs);
    }
    if (message.kind === 'quotaHistory') this.board.recordHistory(message.history, nowMs);
    if (message.kind.startsWith('quota')) this.schedule();
  }

  onClose(session: VmSession): void {
    this.subscribers.delete(session);
    this.received.delete(session);
  }

  private subscribe(session: VmSession, nowMs: number): void {
    if (!understandsQuotas(session)) return;
    this.subscribers.add(session);
    const shares = this.board.listShares(nowMs);
    const needsHistory = this.board.hasTenants && this.board.needsHistory(nowMs);
    if (Object.keys(shares).length === 0 && !needsHistory) return;
    session.send({
      kind: 'quotaShares', shares, isComplete: true, needsHistory,
    });
    this.schedule();
  }

  private schedule(): void {
    if (this.isClosed) return;
    this.timer ??= setTimeout(() => this.tick(), TICK_MS);
  }

  private tick(): void {
    this.timer = undefined;
    const nowMs = this.options.clock();
    const { hub } = this.options;
    const history = this.board.collectHistory(false, nowMs);
    if (history.length > 0) hub.sendToControl({ kind: 'quotaHistory', history }, QUOTA_VERSION);
    const totals = this.board.collectTotals(nowMs);
    if (totals !== undefined) hub.sendToControl({ kind: 'quotaTotals', totals }, QUOTA_VERSION);
    if (!this.board.hasUnsent) this.confirm();
    const shares = this.board.collectShares(nowMs);
    if (shares !== undefined) {
      const frame = encodeFrame({
        kind: 'quotaShares', shares, isComplete: false, needsHistory: false,
      } satisfies VmMessage);
      this.subscribers.forEach((session) => session.sendFrame(frame));
    }
    if (!this.board.isIdle) this.schedule();
  }

  /** Tells entries that their reports have been passed on, so that a loss of this VM costs none. */
  private confirm(): void {
    this.received.forEach((sequence, session) => session.send({ kind: 'quotaConfirm', sequence }));
    this.received.clear();
  }
}
