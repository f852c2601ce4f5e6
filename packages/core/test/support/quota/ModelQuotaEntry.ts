import EntryQuota from '@guavayard/core/quota/EntryQuota';
import type QuotaRule from '@guavayard/core/quota/QuotaRule';
import type QuotaShare from '@guavayard/core/quota/QuotaShare';
import type TenantLimit from '@guavayard/core/quota/TenantLimit';
import type Random from '@guavayard/core/types/Random';

import type ModelQuotaControl from './ModelQuotaControl';
import ModelSession from './ModelSession';
import type VirtualTime from './VirtualTime';

const SEND_INTERVAL_MS = 50;
const CHECK_MS = 50;
const SOURCE_TIMEOUT_MS = 800;
/** Time after which a session closes over which nothing arrives, in milliseconds. */
const SESSION_TIMEOUT_MS = 2000;

interface ModelQuotaEntryOptions {
  readonly index: number;
  readonly count: number;
  readonly time: VirtualTime;
  readonly rule: QuotaRule;
  readonly random: Random;
  /** Control VMs, nearest first. */
  readonly controls: readonly ModelQuotaControl[];
  readonly delayMs: () => number;
  readonly onAdmitted: (name: string) => void;
  readonly onRefused: (name: string, basis: string) => void;
}

/** An entry of the model, which does what `QuotaEntryTask` and `RegistrySubscription` do. */
export default class ModelQuotaEntry {
  frozenUntilMs = 0;

  /** Ends of the cuts from and to control. */
  cutOutUntilMs = 0;

  cutInUntilMs = 0;

  private quota: EntryQuota;

  private source: { control: ModelQuotaControl; session: ModelSession } | undefined;

  private heardAtMs = 0;

  private isSubscribing = false;

  private sentAtMs = -Infinity;

  private isSendDue = false;

  private cutOutSinceMs: number | undefined;

  constructor(private readonly options: ModelQuotaEntryOptions) {
    this.quota = this.createQuota();
    this.check();
  }

  get isFrozen(): boolean {
    return this.options.time.nowMs < this.frozenUntilMs;
  }

  request(tenant: TenantLimit): void {
    const { time, onAdmitted, onRefused } = this.options;
    if (this.isFrozen) {
      time.after(this.frozenUntilMs - time.nowMs, () => this.request(tenant));
      return;
    }
    const decision = this.quota.decide(tenant, time.nowMs);
    if (decision.isAdmitted) onAdmitted(tenant.name);
    else onRefused(tenant.name, decision.basis);
    this.scheduleSend();
  }

  /** The process ends and starts again: what it knew is gone. */
  restart(): void {
    this.source?.control.subscribers.delete(this);
    this.source?.session.close();
    this.source = undefined;
    this.isSendDue = false;
    this.quota = this.createQuota();
  }

  receivePulse(): void {
    this.heardAtMs = this.options.time.nowMs;
    this.quota.recordContact(this.heardAtMs);
  }

  receiveShares(shares: Readonly<Record<string, QuotaShare>>, isComplete: boolean): void {
    this.receivePulse();
    this.quota.setShares(shares, isComplete);
  }

  receiveConfirm(sequence: number): void {
    this.receivePulse();
    this.quota.ledger.confirm(sequence);
  }

  private createQuota(): EntryQuota {
    const {
      rule, random, index, count,
    } = this.options;
    const quota = new EntryQuota({ rule, random });
    quota.setPlace({ index, count });
    return quota;
  }

  private scheduleSend(): void {
    if (this.isSendDue || !this.quota.ledger.isDue || this.source === undefined) return;
    this.isSendDue = true;
    const { time } = this.options;
    time.after(Math.max(0, this.sentAtMs + SEND_INTERVAL_MS - time.nowMs), () => {
      this.isSendDue = false;
      this.send();
    });
  }

  private send(): void {
    const { time } = this.options;
    const { source } = this;
    if (source === undefined) return;
    const { session, control } = source;
    for (;;) {
      const report = this.quota.ledger.take(time.nowMs);
      if (report === undefined) return;
      this.sentAtMs = time.nowMs;
      session.send(0, () => control.receiveUsage(session, report));
    }
  }

  /** Leaves a source that is silent or has closed the session, and looks for another one. */
  private check(): void {
    const { time } = this.options;
    time.after(CHECK_MS, () => this.check());
    if (this.isFrozen) return;
    if (time.nowMs < this.cutOutUntilMs) this.cutOutSinceMs ??= time.nowMs;
    else this.cutOutSinceMs = undefined;
    const { source } = this;
    const isTimedOut = time.nowMs - (this.cutOutSinceMs ?? Infinity) > SESSION_TIMEOUT_MS;
    const isSilent = time.nowMs - this.heardAtMs > SOURCE_TIMEOUT_MS;
    if (source !== undefined && (!source.session.isOpen || isSilent || isTimedOut)) {
      source.session.close();
      source.control.subscribers.delete(this);
      this.source = undefined;
      this.quota.setFollowing(false, time.nowMs);
    }
    if (this.source === undefined && !this.isSubscribing) this.subscribe();
  }

  private subscribe(): void {
    const { time, controls, delayMs } = this.options;
    const isCut = time.nowMs < Math.max(this.cutOutUntilMs, this.cutInUntilMs);
    const control = controls.find(({ isUp, isFrozen }) => isUp && !isFrozen);
    if (isCut || control === undefined) return;
    this.isSubscribing = true;
    time.after(6 * delayMs(), () => {
      this.isSubscribing = false;
      if (!control.isUp || this.isFrozen) return;
      this.follow(control);
    });
  }

  private follow(control: ModelQuotaControl): void {
    const { time, delayMs } = this.options;
    const session = new ModelSession({
      time,
      delayMs,
      isBlocked: (direction) => (direction === 0
        ? control.isFrozen || time.nowMs < this.cutOutUntilMs
        : this.isFrozen || time.nowMs < this.cutInUntilMs),
    });
    control.subscribers.set(this, session);
    this.source = { control, session };
    this.quota.setFollowing(true, time.nowMs);
    this.receiveShares(control.board.listShares(time.nowMs), true);
    if (control.board.needsHistory(time.nowMs)) this.quota.ledger.restart(true);
    control.wake();
    this.scheduleSend();
  }
}
