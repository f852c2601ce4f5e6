import EntryQuota from '@guavayard/core/quota/EntryQuota';
import type QuotaDecision from '@guavayard/core/quota/QuotaDecision';
import type QuotaRule from '@guavayard/core/quota/QuotaRule';
import type TenantLimit from '@guavayard/core/quota/TenantLimit';
import type Clock from '@guavayard/core/types/Clock';
import type Random from '@guavayard/core/types/Random';

import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmHub from '../session/VmHub';
import type VmSession from '../session/VmSession';
import QUOTA_VERSION from './quotaVersion';

/**
 * Shortest time between two reports, in milliseconds. An entry gets 3 to 4 requests a second, so
 * most reports are of one request, whether they wait or not; sent at once they show a surge 0.1 s
 * earlier.
 */
const REPORT_INTERVAL_MS = 50;

interface QuotaEntryTaskOptions {
  readonly hub: Pick<VmHub, 'protocolVersionOf'>;
  readonly entryName: string;
  readonly rule: QuotaRule;
  readonly clock: Clock;
  readonly random: Random;
}

/**
 * Quotas at an entry: it decides on requests of tenants, and reports them to the control VM that it
 * follows. Without requests of tenants with a limit it sends nothing and has no timer.
 */
export default class QuotaEntryTask implements SessionHandler {
  private readonly quota: EntryQuota;

  /** Open sessions with control VMs, the newest of each last. */
  private readonly sessions = new Set<VmSession>();

  private source: string | undefined;

  private timer: NodeJS.Timeout | undefined;

  private sentAtMs = -Infinity;

  /** @param options - the sessions, the rule, clock and random numbers */
  constructor(private readonly options: QuotaEntryTaskOptions) {
    const { rule, random } = options;
    this.quota = new EntryQuota({ rule, random });
  }

  /** Number of tenants whose requests are limited now. */
  get limitedCount(): number {
    return this.quota.limitedCount;
  }

  /**
   * Decides on a request, and counts it.
   *
   * @param tenant - rate and burst of its tenant
   * @returns whether it is admitted
   */
  decide(tenant: TenantLimit): QuotaDecision {
    const decision = this.quota.decide(tenant, this.options.clock());
    this.schedule();
    return decision;
  }

  /**
   * Counts requests that arrive at targets without a decision, or gives credit back.
   *
   * @param tenant - the tenant
   * @param count - number of requests; negative to give credit back
   */
  adjust(tenant: TenantLimit, count: number): void {
    this.quota.adjust(tenant, count, this.options.clock());
    this.schedule();
  }

  /** Records a message of the control VM that the entry follows. */
  recordContact(): void {
    this.quota.recordContact(this.options.clock());
  }

  /**
   * Sets the control VM that the entry follows.
   *
   * @param control - its name, undefined if there is none
   */
  setSource(control: string | undefined): void {
    const knowsQuotas = control !== undefined
      && this.options.hub.protocolVersionOf(control) >= QUOTA_VERSION;
    this.source = knowsQuotas ? control : undefined;
    this.quota.setFollowing(knowsQuotas, this.options.clock());
    // A control VM without limits says nothing.
    if (knowsQuotas) this.quota.setShares({}, true);
    this.schedule();
  }

  /**
   * Sets the entries of the system, which determine the part of this one without control.
   *
   * @param names - names of all entries
   */
  setEntries(names: readonly string[]): void {
    const sorted = [...names].sort();
    const index = sorted.indexOf(this.options.entryName);
    this.quota.setPlace(index === -1 ? undefined : { index, count: sorted.length });
  }

  /** Stops reporting. */
  close(): void {
    clearTimeout(this.timer);
  }

  onOpen(session: VmSession): void {
    this.sessions.add(session);
  }

  onMessage(session: VmSession, message: VmMessage): void {
    if (!message.kind.startsWith('quota')) return;
    const isSource = this.source !== undefined && session.peer?.name === this.source;
    if (!isSource) return;
    if (message.kind === 'quotaConfirm') this.quota.ledger.confirm(message.sequence);
    if (message.kind !== 'quotaShares') return;
    this.quota.setShares(message.shares, message.isComplete);
    if (message.needsHistory) this.quota.ledger.restart(true);
    this.schedule();
  }

  onClose(session: VmSession): void {
    this.sessions.delete(session);
  }

  private schedule(): void {
    if (this.timer !== undefined || this.source === undefined || !this.quota.ledger.isDue) return;
    const delayMs = Math.max(0, this.sentAtMs + REPORT_INTERVAL_MS - this.options.clock());
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.report();
    }, delayMs);
  }

  private report(): void {
    const session = [...this.sessions].findLast(({ peer }) => peer?.name === this.source);
    if (session === undefined) return;
    const nowMs = this.options.clock();
    for (;;) {
      const report = this.quota.ledger.take(nowMs);
      if (report === undefined) return;
      this.sentAtMs = nowMs;
      const { sequence, ageMs } = report;
      session.send({
        kind: 'quotaUsage', sequence, ageMs, usage: { ...report.usage },
      });
    }
  }
}
