import type Logger from 'bunyan';

import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';
import type DeclaredRoute from '@guavayard/core/registry/DeclaredRoute';
import calculateLimitShare from '@guavayard/core/requestLimit/calculateLimitShare';
import estimateLimitWait from '@guavayard/core/requestLimit/estimateLimitWait';
import findSharingEntries from '@guavayard/core/requestLimit/findSharingEntries';
import isLimitHolder from '@guavayard/core/requestLimit/isLimitHolder';
import type RequestLimit from '@guavayard/core/requestLimit/RequestLimit';
import type RequestLimitNotice from '@guavayard/core/requestLimit/RequestLimitNotice';
import setAllowance from '@guavayard/core/requestLimit/setAllowance';
import type Clock from '@guavayard/core/types/Clock';

import type EntryLocation from './EntryLocation';

/** Interval at which a limit that still holds is shared again, in milliseconds. */
const SHARE_INTERVAL_MS = 5000;
/** Time without a statement after which a limit is verified by a probe, in milliseconds. */
const VERIFY_AFTER_MS = 15_000;
/** That time for each entry of the system, so that all entries together probe a target rarely. */
const VERIFY_MS_PER_ENTRY = 250;

/** How an entry learnt of a limit. */
type LimitSource = 'request' | 'probe' | 'entry';

interface RequestLimitTrackerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly entryName: string;
  /** Tells the other entries of a limit. */
  readonly share: (notice: RequestLimitNotice) => void;
}

/** What determines which entries share the limits of targets. */
interface SharingContext {
  readonly entries: readonly EntryLocation[];
  readonly routes: readonly DeclaredRoute[];
  /** Regions in which each service has targets. */
  readonly regionsOf: ReadonlyMap<string, ReadonlySet<string>>;
}

/**
 * Keeps the limits that targets name on the requests of all entries together, and the share of this
 * entry in each of them.
 */
export default class RequestLimitTracker {
  private context: SharingContext = { entries: [], routes: [], regionsOf: new Map() };

  /** Limits whose share was calculated in the current context. */
  private calculated = new WeakSet<RequestLimit>();

  /** Times at which callers that were refused have been told to return. */
  private returnsAtMs: number[] = [];

  constructor(private readonly options: RequestLimitTrackerOptions) {}

  /** Replaces what determines the shares; those of all limits are calculated anew. */
  setContext(context: SharingContext): void {
    this.context = context;
    this.calculated = new WeakSet();
  }

  /**
   * Records the limit that a target stated in a response to this entry.
   *
   * @param target - the target
   * @param requestsPerSecond - its limit; undefined if it stated none
   * @param source - kind of the response
   */
  recordResponse(
    target: PlacedTarget,
    requestsPerSecond: number | undefined,
    source: 'request' | 'probe',
  ): void {
    const { requestLimit: known } = target;
    const nowMs = this.options.clock();
    if (requestsPerSecond === undefined) {
      const isWithdrawn = known !== undefined
        && (source === 'request' || known.isInProbes || this.isDue(known, nowMs));
      if (!isWithdrawn) return;
    }
    const isChanged = this.change(target, requestsPerSecond, source);
    const limit = target.requestLimit;
    if (limit !== undefined) {
      limit.statedAtMs = nowMs;
      limit.isInProbes ||= source === 'probe';
    }
    if (!isChanged && nowMs - (limit?.sharedAtMs ?? nowMs) < SHARE_INTERVAL_MS) return;
    if (limit !== undefined) limit.sharedAtMs = nowMs;
    const { id, bornAtMs } = target.record;
    this.options.share({
      targetId: id, bornAtMs, ...(requestsPerSecond === undefined ? {} : { requestsPerSecond }),
    });
  }

  /** Records a limit that another entry has learnt; one of an earlier incarnation is ignored. */
  recordNotice(target: PlacedTarget, { bornAtMs, requestsPerSecond }: RequestLimitNotice): void {
    if (target.record.bornAtMs !== bornAtMs) return;
    this.change(target, requestsPerSecond, 'entry');
    const limit = target.requestLimit;
    if (limit === undefined) return;
    limit.statedAtMs = this.options.clock();
    limit.sharedAtMs = limit.statedAtMs;
  }

  /** @returns whether the limit of a target allows this entry one more request now */
  allows(target: PlacedTarget): boolean {
    const { requestLimit } = target;
    if (requestLimit === undefined) return true;
    const nowMs = this.options.clock();
    this.calculateShare(target, requestLimit, nowMs);
    return (requestLimit.allowance?.available(nowMs) ?? 0) >= 1;
  }

  /** @returns whether a limit has not been stated for so long that a probe should verify it */
  isUnverified({ requestLimit }: PlacedTarget): boolean {
    return requestLimit !== undefined && this.isDue(requestLimit, this.options.clock());
  }

  /**
   * Estimates when this entry may send one more request to one of some targets, none of which
   * allows one now.
   *
   * @param targets - the targets, of which those without a limit are ignored
   * @param ahead - queued requests that are served first
   * @returns the time until then in milliseconds, undefined if none of the targets has a limit
   */
  estimateWaitMs(targets: readonly PlacedTarget[], ahead: number): number | undefined {
    const nowMs = this.options.clock();
    const limits = targets.flatMap((target) => {
      if (target.requestLimit === undefined) return [];
      this.calculateShare(target, target.requestLimit, nowMs);
      return [target.requestLimit];
    });
    this.returnsAtMs = this.returnsAtMs.filter((atMs) => atMs > nowMs);
    const before = ahead + this.returnsAtMs.length;
    return estimateLimitWait(limits, before, this.context.entries.length, nowMs);
  }

  /** Records that a caller was told to return after some time. */
  recordReturn(waitMs: number): void {
    this.returnsAtMs.push(this.options.clock() + waitMs);
  }

  private change(
    target: PlacedTarget,
    requestsPerSecond: number | undefined,
    source: LimitSource,
  ): boolean {
    const state = target;
    const before = target.requestLimit;
    if (before?.requestsPerSecond === requestsPerSecond) return false;
    this.options.log.info({
      target: target.record.id, requestsPerSecond, before: before?.requestsPerSecond, source,
    }, 'request limit of target changed');
    const nowMs = this.options.clock();
    state.requestLimit = requestsPerSecond === undefined ? undefined : {
      requestsPerSecond,
      allowance: before?.allowance,
      statedAtMs: nowMs,
      sharedAtMs: nowMs,
      isInProbes: before?.isInProbes ?? false,
    };
    // The share accrues from now on, also while no request considers the target.
    if (state.requestLimit !== undefined) this.calculateShare(target, state.requestLimit, nowMs);
    return true;
  }

  private calculateShare(target: PlacedTarget, limit: RequestLimit, nowMs: number): void {
    if (this.calculated.has(limit)) return;
    this.calculated.add(limit);
    const { entries, routes, regionsOf } = this.context;
    const { id, service } = target.record;
    const sharing = findSharingEntries(
      { service, region: target.region },
      entries,
      routes,
      regionsOf.get(service) ?? new Set(),
    );
    const share = calculateLimitShare(limit.requestsPerSecond, sharing.length);
    const isHolder = isLimitHolder(id, share.holders, sharing, this.options.entryName);
    setAllowance(limit, isHolder ? share : undefined, nowMs);
  }

  private isDue({ statedAtMs }: RequestLimit, nowMs: number): boolean {
    const dueMs = Math.max(VERIFY_AFTER_MS, VERIFY_MS_PER_ENTRY * this.context.entries.length);
    return nowMs - statedAtMs > dueMs;
  }
}
