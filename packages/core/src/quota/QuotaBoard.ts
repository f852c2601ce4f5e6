import EarlierUsage from './EarlierUsage';
import PeerTotals from './PeerTotals';
import type QuotaCount from './QuotaCount';
import type QuotaHistory from './QuotaHistory';
import type QuotaRule from './QuotaRule';
import type QuotaShare from './QuotaShare';
import type QuotaState from './QuotaState';
import TenantLevel from './TenantLevel';
import type TenantLimit from './TenantLimit';
import hasQuota from './hasQuota';

const MS_PER_SECOND = 1000;
/** Interval at which the other control VMs are sent the totals that have changed, in ms. */
const TOTALS_INTERVAL_MS = 250;
/**
 * Requests of a tenant that are passed on at once, as a time at its rate, in milliseconds. One of
 * five control VMs gathers them in 0.6 s of usual demand, and in 0.06 s of ten times that.
 */
const URGENT_MS = 80;
/** Fewest requests that are passed on at once. */
const MIN_URGENT = 4;
/** Age up to which requests count as present demand, in milliseconds. */
const MAX_DEMAND_AGE_MS = 300;
/** Least change of a share that is published. */
const SHARE_STEP = 0.01;

interface QuotaBoardOptions {
  readonly rule: QuotaRule;
  /** Returns the tenants in force, and the same array as long as they have not changed. */
  readonly tenants: () => readonly TenantLimit[];
  /** When this control VM started, in milliseconds of the clock. */
  readonly startedAtMs: number;
}

/**
 * The quotas of all tenants as one control VM sees them. It counts the requests that its entries
 * report, takes over what the other control VMs count, and derives the shares to publish.
 */
export default class QuotaBoard {
  private limits: readonly TenantLimit[] = [];

  private readonly levels = new Map<string, TenantLevel>();

  /** Requests that entries have reported to this control VM since its start. */
  private readonly totals = new Map<string, QuotaCount>();

  /** Requests asked for since the totals were last passed on. */
  private readonly unsent = new Map<string, number>();

  private readonly peers: PeerTotals;

  private readonly published = new Map<string, QuotaShare>();

  private readonly earlier = new EarlierUsage();

  private totalsSentAtMs = -Infinity;

  private hasAdopted = false;

  /** @param options - the rule, and the tenants that it holds for */
  constructor(private readonly options: QuotaBoardOptions) {
    this.peers = new PeerTotals(options.rule.windowMs);
  }

  /** Whether there is nothing to pass on and no tenant is limited. */
  get isIdle(): boolean {
    return this.unsent.size === 0 && this.published.size === 0 && !this.earlier.isDue;
  }

  /** Whether a tenant has a limit. */
  get hasTenants(): boolean {
    return this.levels.size > 0;
  }

  /** Whether entries have reported what was not passed on. */
  get hasUnsent(): boolean {
    return this.unsent.size > 0;
  }

  /**
   * Returns whether entries that subscribe are to report all that they admitted within a window, as
   * this control VM has just started and no other one knows it.
   *
   * @param nowMs - monotonic clock, in milliseconds
   */
  needsHistory(nowMs: number): boolean {
    const { rule: { windowMs }, startedAtMs } = this.options;
    return !this.hasAdopted && nowMs - startedAtMs < windowMs;
  }

  /** Number of tenants whose requests are limited now. */
  get limitedCount(): number {
    return this.published.size;
  }

  /**
   * Records what an entry reports.
   *
   * @param usage - requests by tenant since its last report
   * @param ageMs - time since the requests arrived, in milliseconds
   * @param nowMs - monotonic clock, in milliseconds
   */
  recordUsage(
    usage: Readonly<Record<string, QuotaCount>>,
    ageMs: number,
    nowMs: number,
  ): void {
    this.updateLimits(nowMs);
    const isEarlier = nowMs - ageMs < this.options.startedAtMs;
    Object.entries(usage).forEach(([name, [asked, admitted]]) => {
      // The entry may have another declaration in force than this VM.
      if (!this.levels.has(name)) return;
      if (isEarlier) {
        this.levels.get(name)?.recordEarlier(admitted, nowMs - ageMs, nowMs);
        this.earlier.add(name, admitted, nowMs - ageMs);
        return;
      }
      const [askedBefore, admittedBefore] = this.totals.get(name) ?? [0, 0];
      this.totals.set(name, [askedBefore + asked, admittedBefore + admitted]);
      this.unsent.set(name, (this.unsent.get(name) ?? 0) + asked);
      const isDemand = ageMs <= MAX_DEMAND_AGE_MS;
      this.levels.get(name)?.record([isDemand ? asked : 0, admitted], nowMs);
    });
  }

  /**
   * Takes over the requests that another control VM has counted since its start.
   *
   * @param peer - name of the control VM
   * @param startId - id of its start
   * @param totals - requests by tenant; tenants without further requests are omitted
   * @param nowMs - monotonic clock, in milliseconds
   */
  recordTotals(
    peer: string,
    startId: string,
    totals: Readonly<Record<string, QuotaCount>>,
    nowMs: number,
  ): void {
    this.count(this.peers.record(peer, startId, totals, nowMs), nowMs);
  }

  /**
   * Takes over the state that another control VM sends when a session with it opens.
   *
   * @param peer - name of the control VM
   * @param startId - id of its start
   * @param state - its totals and levels
   * @param nowMs - monotonic clock, in milliseconds
   */
  recordState(peer: string, startId: string, state: QuotaState, nowMs: number): void {
    const counted = this.peers.open(peer, startId, state, nowMs);
    if (counted === undefined) this.adoptLevels(state, nowMs);
    else this.count(counted, nowMs);
  }

  /**
   * Takes over requests that entries have reported to another control VM that has just started.
   *
   * @param history - requests that were admitted before it started
   * @param nowMs - monotonic clock, in milliseconds
   */
  recordHistory(history: QuotaHistory, nowMs: number): void {
    this.updateLimits(nowMs);
    history.forEach(({ ageMs, admitted }) => {
      const atMs = nowMs - ageMs;
      // A VM that was up then has counted them.
      if (atMs >= this.options.startedAtMs) return;
      Object.entries(admitted).forEach(([name, count]) => (
        this.levels.get(name)?.recordEarlier(count, atMs, nowMs)));
    });
  }

  /**
   * Returns what entries have reported to this VM from before its start.
   *
   * @param isComplete - whether to return what was returned before, too
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the requests to pass on to other control VMs, empty if there are none
   */
  collectHistory(isComplete: boolean, nowMs: number): QuotaHistory {
    const { windowMs } = this.options.rule;
    this.earlier.expire(nowMs - windowMs);
    return this.earlier.collect(isComplete, windowMs, nowMs);
  }

  /**
   * Returns the state for a control VM with which a session opens.
   *
   * @param nowMs - monotonic clock, in milliseconds
   */
  createState(nowMs: number): QuotaState {
    this.updateLimits(nowMs);
    return {
      uptimeMs: Math.max(0, Math.round(nowMs - this.options.startedAtMs)),
      totals: Object.fromEntries(this.totals),
      levels: Object.fromEntries([...this.levels].map(([name, level]) => (
        [name, Math.floor(level.tokensAt(nowMs))]))),
    };
  }

  /**
   * Returns the totals to pass on to the other control VMs.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the totals that have changed, undefined if none are due
   */
  collectTotals(nowMs: number): Record<string, QuotaCount> | undefined {
    if (this.unsent.size === 0) return undefined;
    const isUrgent = this.limits.some(({ name, ratePerSecond }) => (
      (this.unsent.get(name) ?? 0)
        >= Math.max(MIN_URGENT, (ratePerSecond * URGENT_MS) / MS_PER_SECOND)));
    if (!isUrgent && nowMs - this.totalsSentAtMs < TOTALS_INTERVAL_MS) return undefined;
    this.totalsSentAtMs = nowMs;
    const changed = [...this.unsent.keys()]
      .map((name): [string, QuotaCount] => [name, this.totals.get(name) ?? [0, 0]]);
    this.unsent.clear();
    return Object.fromEntries(changed);
  }

  /**
   * Returns the shares to publish to entries.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the shares that have changed, undefined if none have
   */
  collectShares(nowMs: number): Record<string, QuotaShare> | undefined {
    this.updateLimits(nowMs);
    const changed: Record<string, QuotaShare> = {};
    this.levels.forEach((level, name) => {
      const share = level.calculateShare(nowMs);
      const before = this.published.get(name)?.[0] ?? 1;
      const isLimited = share[0] < 1;
      const isChanged = Math.abs(share[0] - before) >= SHARE_STEP
        || isLimited !== (before < 1) || (share[0] === 0 && before > 0);
      if (!isChanged) return;
      changed[name] = share;
      if (isLimited) this.published.set(name, share);
      else this.published.delete(name);
    });
    return Object.keys(changed).length === 0 ? undefined : changed;
  }

  /**
   * Returns the shares for an entry that subscribes; tenants that are omitted have no limit.
   *
   * @param nowMs - monotonic clock, in milliseconds
   */
  listShares(nowMs: number): Record<string, QuotaShare> {
    this.updateLimits(nowMs);
    const shares = [...this.levels]
      .map(([name, level]): [string, QuotaShare] => [name, level.calculateShare(nowMs)]);
    return Object.fromEntries(shares.filter(([, [share]]) => share < 1));
  }

  private count(counted: readonly [string, QuotaCount][], nowMs: number): void {
    this.updateLimits(nowMs);
    counted.forEach(([name, count]) => this.levels.get(name)?.record(count, nowMs));
  }

  /** Takes over the levels of a control VM that has counted what this one has missed. */
  private adoptLevels(state: QuotaState, nowMs: number): void {
    const { rule: { windowMs }, startedAtMs } = this.options;
    if (state.uptimeMs < windowMs) return;
    this.updateLimits(nowMs);
    const isNew = nowMs - startedAtMs < windowMs && !this.hasAdopted;
    this.hasAdopted = true;
    Object.entries(state.levels).forEach(([name, tokens]) => {
      const level = this.levels.get(name);
      // The other one has not counted what entries have reported to this one.
      const adopted = tokens - (isNew ? this.totals.get(name)?.[1] ?? 0 : 0);
      level?.adopt(isNew ? adopted : Math.min(level.tokensAt(nowMs), adopted), nowMs);
    });
  }

  private updateLimits(nowMs: number): void {
    const tenants = this.options.tenants();
    if (tenants === this.limits) return;
    this.limits = tenants;
    const limited = new Map(tenants.filter(hasQuota).map((tenant) => [tenant.name, tenant]));
    [...this.levels.keys()].filter((name) => !limited.has(name))
      .forEach((name) => {
        this.levels.delete(name);
        this.published.delete(name);
      });
    // A VM that has just started has missed what entries admitted before.
    const isCounted = nowMs - this.options.startedAtMs >= this.options.rule.windowMs;
    limited.forEach((tenant, name) => {
      const level = this.levels.get(name);
      if (level === undefined) {
        this.levels.set(name, new TenantLevel(tenant, this.options.rule, nowMs, isCounted));
      } else level.setLimit(tenant, nowMs);
    });
  }
}
