import type EntryPlace from './EntryPlace';
import FallbackQuota from './FallbackQuota';
import type QuotaDecision from './QuotaDecision';
import type QuotaRule from './QuotaRule';
import type QuotaShare from './QuotaShare';
import ShareDiffusion from './ShareDiffusion';
import type TenantLimit from './TenantLimit';
import UsageLedger from './UsageLedger';
import hasQuota from './hasQuota';

/**
 * Time without a message of control after which an entry limits tenants itself, in milliseconds.
 * It takes 0.8 s to notice that a control VM is silent and less than 0.1 s to follow another one. A
 * published share is used no longer either: in the first moments of a surge it spends a level that
 * would soon be used up.
 */
const CONTACT_LIMIT_MS = 900;
/**
 * Time without a control VM to follow after which it does so, in milliseconds. It is shorter, as an
 * entry knows at once that a session has ended, and takes 0.1 to 0.2 s to follow another VM. In
 * the model, 350 ms exceeded the rule by a tenth when all control VMs ended 0.25 s into a surge.
 */
const SEARCH_LIMIT_MS = 200;
/** Retry delay for callers refused without control, in milliseconds. */
const FALLBACK_RETRY_AFTER_MS = 1000;
/** Factor that spreads the fallback of tenants over entries: the golden ratio less one. */
const PHASE_STEP = 0.618_033_988_749_895;

interface EntryQuotaOptions {
  readonly rule: QuotaRule;
  /** Random number from 0 to 1 with which the sequence of each tenant starts. */
  readonly random: () => number;
}

interface TenantState {
  readonly diffusion: ShareDiffusion;
  readonly fallback: FallbackQuota;
}

function hashName(name: string): number {
  const sum = Buffer.from(name).reduce((hash, byte) => (hash * 31 + byte) % 65_521, 7);
  return (sum * PHASE_STEP) % 1;
}

/** An entry's decisions on requests of tenants with a quota. */
export default class EntryQuota {
  readonly ledger: UsageLedger;

  private readonly tenants = new Map<string, TenantState>();

  private readonly shares = new Map<string, QuotaShare>();

  private place: EntryPlace | undefined;

  private contactAtMs = -Infinity;

  /** Since when there is no control VM to follow; undefined while there is one. */
  private searchSinceMs: number | undefined = -Infinity;

  /** @param options - the rule, and random numbers */
  constructor(private readonly options: EntryQuotaOptions) {
    this.ledger = new UsageLedger(options.rule.windowMs);
  }

  /** Number of tenants whose requests are limited now. */
  get limitedCount(): number {
    return this.shares.size;
  }

  /**
   * Records a message of the control VM that the entry follows.
   *
   * @param nowMs - monotonic clock, in milliseconds
   */
  recordContact(nowMs: number): void {
    this.contactAtMs = nowMs;
  }

  /**
   * Records that the entry follows another control VM, or none.
   *
   * @param isFollowing - whether it follows one
   * @param nowMs - monotonic clock, in milliseconds
   */
  setFollowing(isFollowing: boolean, nowMs: number): void {
    if (isFollowing) {
      this.searchSinceMs = undefined;
      this.recordContact(nowMs);
      // What the former control VM did not confirm may be lost with it.
      this.ledger.restart(false);
    } else this.searchSinceMs ??= nowMs;
  }

  /** Sets the place of this entry among all entries. */
  setPlace(place: EntryPlace | undefined): void {
    this.place = place;
  }

  /**
   * Applies the shares that control publishes.
   *
   * @param shares - shares by tenant
   * @param isComplete - whether tenants that are not named have no limit
   */
  setShares(shares: Readonly<Record<string, QuotaShare>>, isComplete: boolean): void {
    if (isComplete) this.shares.clear();
    Object.entries(shares).forEach(([name, share]) => {
      if (share[0] < 1) this.shares.set(name, share);
      else this.shares.delete(name);
    });
  }

  /**
   * Decides on a request, and counts it.
   *
   * @param tenant - rate and burst of its tenant
   * @param nowMs - monotonic clock, in milliseconds
   * @returns whether it is admitted, and why
   */
  decide(tenant: TenantLimit, nowMs: number): QuotaDecision {
    if (!hasQuota(tenant)) return { isAdmitted: true };
    const decision = this.findDecision(tenant, nowMs);
    this.ledger.record(tenant.name, [1, decision.isAdmitted ? 1 : 0], nowMs);
    return decision;
  }

  /**
   * Counts requests without a decision, such as repeats, or gives credit back.
   *
   * @param tenant - rate and burst of the tenant
   * @param count - number of requests; negative to give credit back
   * @param nowMs - monotonic clock, in milliseconds
   */
  adjust(tenant: TenantLimit, count: number, nowMs: number): void {
    if (hasQuota(tenant)) this.ledger.record(tenant.name, [0, count], nowMs);
  }

  private findDecision(tenant: TenantLimit, nowMs: number): QuotaDecision {
    const state = this.findState(tenant.name);
    const share = this.shares.get(tenant.name);
    const heardAtMs = Math.min(this.contactAtMs, this.ledger.unconfirmedSinceMs ?? Infinity);
    const sinceMs = Math.min(
      heardAtMs + CONTACT_LIMIT_MS,
      (this.searchSinceMs ?? Infinity) + SEARCH_LIMIT_MS,
    );
    if (nowMs > sinceMs) {
      const isAdmitted = state.fallback.take(tenant, this.place, sinceMs, nowMs);
      return isAdmitted
        ? { isAdmitted }
        : { isAdmitted, retryAfterMs: FALLBACK_RETRY_AFTER_MS, basis: 'without control' };
    }
    if (share === undefined || state.diffusion.next(share[0])) return { isAdmitted: true };
    return {
      isAdmitted: false, retryAfterMs: share[1], basis: `share ${share[0].toFixed(3)}`,
    };
  }

  private findState(name: string): TenantState {
    const known = this.tenants.get(name);
    if (known !== undefined) return known;
    const state = {
      diffusion: new ShareDiffusion(this.options.random()),
      fallback: new FallbackQuota({
        rule: this.options.rule, unnoticedMs: CONTACT_LIMIT_MS, phase: hashName(name),
      }),
    };
    this.tenants.set(name, state);
    return state;
  }
}
