import QuotaBoard from '@guavayard/core/quota/QuotaBoard';
import type QuotaRule from '@guavayard/core/quota/QuotaRule';
import type TenantLimit from '@guavayard/core/quota/TenantLimit';
import type UsageLedger from '@guavayard/core/quota/UsageLedger';

import type ModelQuotaEntry from './ModelQuotaEntry';
import type ModelSession from './ModelSession';
import type VirtualTime from './VirtualTime';

type Report = NonNullable<ReturnType<UsageLedger['take']>>;

const TICK_MS = 50;
const PULSE_MS = 250;

interface ModelQuotaControlOptions {
  readonly name: string;
  readonly time: VirtualTime;
  readonly rule: QuotaRule;
  readonly tenants: () => readonly TenantLimit[];
}

/** A control VM of the model: what `QuotaControlTask` does, on a virtual clock. */
export default class ModelQuotaControl {
  board: QuotaBoard;

  isUp = true;

  frozenUntilMs = 0;

  readonly subscribers = new Map<ModelQuotaEntry, ModelSession>();

  /** Open sessions with other control VMs, and the end that this VM is. */
  readonly peers = new Map<ModelQuotaControl, { session: ModelSession; direction: 0 | 1 }>();

  private starts = 0;

  private readonly received = new Map<ModelSession, number>();

  private isTicking = false;

  constructor(private readonly options: ModelQuotaControlOptions) {
    this.board = this.createBoard(-options.rule.windowMs);
    this.pulse();
  }

  get name(): string {
    return this.options.name;
  }

  get startId(): string {
    return `start ${this.starts}`;
  }

  get isFrozen(): boolean {
    return this.options.time.nowMs < this.frozenUntilMs;
  }

  restart(): void {
    this.starts += 1;
    this.isUp = true;
    this.board = this.createBoard(this.options.time.nowMs);
  }

  kill(): void {
    this.isUp = false;
    this.subscribers.forEach((session) => session.close());
    this.peers.forEach(({ session }, peer) => {
      session.close();
      peer.peers.delete(this);
    });
    this.subscribers.clear();
    this.peers.clear();
    this.received.clear();
  }

  /** Tells another control VM the state, as a session with it has opened. */
  sendState(peer: ModelQuotaControl): void {
    const link = this.peers.get(peer);
    const { startId } = this;
    const state = this.board.createState(this.options.time.nowMs);
    const history = this.board.collectHistory(true, this.options.time.nowMs);
    link?.session.send(link.direction, () => {
      peer.board.recordState(this.name, startId, state, this.options.time.nowMs);
      peer.board.recordHistory(history, this.options.time.nowMs);
      peer.wake();
    });
  }

  receiveUsage(session: ModelSession, { sequence, ageMs, usage }: Report): void {
    this.board.recordUsage(usage, ageMs, this.options.time.nowMs);
    this.received.set(session, sequence);
    this.wake();
  }

  wake(): void {
    if (this.isTicking) return;
    this.isTicking = true;
    this.options.time.after(TICK_MS, () => this.tick());
  }

  private tick(): void {
    this.isTicking = false;
    const { time } = this.options;
    if (!this.isUp) return;
    if (this.isFrozen) {
      time.after(this.frozenUntilMs - time.nowMs, () => this.wake());
      return;
    }
    const { startId } = this;
    const history = this.board.collectHistory(false, time.nowMs);
    if (history.length > 0) {
      this.peers.forEach(({ session, direction }, peer) => session.send(direction, () => {
        peer.board.recordHistory(history, time.nowMs);
        peer.wake();
      }));
    }
    const totals = this.board.collectTotals(time.nowMs);
    if (totals !== undefined) {
      this.peers.forEach(({ session, direction }, peer) => session.send(direction, () => {
        peer.board.recordTotals(this.name, startId, totals, time.nowMs);
        peer.wake();
      }));
      this.subscribers.forEach((session, entry) => {
        const sequence = this.received.get(session);
        if (sequence !== undefined) session.send(1, () => entry.receiveConfirm(sequence));
      });
      this.received.clear();
    }
    const shares = this.board.collectShares(time.nowMs);
    if (shares !== undefined) {
      this.subscribers.forEach((session, entry) => (
        session.send(1, () => entry.receiveShares(shares, false))));
    }
    if (!this.board.isIdle) this.wake();
  }

  private pulse(): void {
    if (this.isUp && !this.isFrozen) {
      this.subscribers.forEach((session, entry) => session.send(1, () => entry.receivePulse()));
    }
    this.options.time.after(PULSE_MS, () => this.pulse());
  }

  private createBoard(startedAtMs: number): QuotaBoard {
    const { rule, tenants } = this.options;
    return new QuotaBoard({ rule, tenants, startedAtMs });
  }
}
