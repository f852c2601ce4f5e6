import calculateQuotaBounds from './calculateQuotaBounds';
import type EntryPlace from './EntryPlace';
import type QuotaRule from './QuotaRule';
import surgeFactor from './surgeFactor';
import type TenantLimit from './TenantLimit';

const MS_PER_SECOND = 1000;
/** A window touches two slots, so each has half of what the window allows. */
const SLOTS_PER_WINDOW = 2;

interface FallbackQuotaOptions {
  readonly rule: QuotaRule;
  /** Time after which an entry notices that control is out of reach, in milliseconds. */
  readonly unnoticedMs: number;
  /** Start of the sequence of whole requests, from 0 to 1, the same at all entries. */
  readonly phase: number;
}

/**
 * The part of a tenant's quota that one entry may use without control. Time is divided into slots
 * of one window. The parts are fractions of requests, so each slot gives whole requests to some of
 * the entries, chosen such that all entries together get the sum of the parts.
 */
export default class FallbackQuota {
  private slot = -1;

  private admitted = 0;

  /** @param options - the rule, and what the parts depend on besides the tenant */
  constructor(private readonly options: FallbackQuotaOptions) {}

  /**
   * Takes one request.
   *
   * @param limit - rate and burst of the tenant
   * @param place - place of this entry; undefined as long as it does not know the others
   * @param sinceMs - when the entry noticed that control is out of reach
   * @param nowMs - monotonic clock, in milliseconds
   * @returns whether it is within the part of this entry
   */
  take(
    limit: TenantLimit,
    place: EntryPlace | undefined,
    sinceMs: number,
    nowMs: number,
  ): boolean {
    if (place === undefined || place.count === 0) return false;
    const slot = Math.floor(nowMs / this.options.rule.windowMs);
    const isFirst = nowMs - sinceMs < this.options.rule.windowMs;
    if (slot !== this.slot) this.admitted = 0;
    this.slot = slot;
    const part = this.partOf(limit, place, isFirst);
    // Entries start at evenly spaced places, so that the whole requests add up to the parts, and
    // successive slots serve different entries.
    const start = (this.options.phase + place.index / place.count + slot * part) % 1;
    if (this.admitted >= Math.floor(start + part)) return false;
    this.admitted += 1;
    return true;
  }

  private partOf(limit: TenantLimit, { count }: EntryPlace, isFirst: boolean): number {
    const { quota, excess } = calculateQuotaBounds(limit, this.options.rule);
    const perSlot = quota / SLOTS_PER_WINDOW;
    if (!isFirst) return perSlot / count;
    const unnoticed = (surgeFactor * limit.ratePerSecond * this.options.unnoticedMs)
      / MS_PER_SECOND;
    // The first slots lie in one window with what was admitted unnoticed.
    return Math.max(0, Math.min(perSlot, (quota + excess - unnoticed) / SLOTS_PER_WINDOW)) / count;
  }
}
