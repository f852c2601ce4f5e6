import type QuotaHistory from './QuotaHistory';

/** Length of time whose requests are passed on as one number, in milliseconds. */
const PART_MS = 250;

interface EarlierPart {
  readonly atMs: number;
  readonly name: string;
  readonly admitted: number;
}

/**
 * Requests that entries have reported to a control VM and that were admitted before it started. It
 * passes them on to the others, as these may have started at the same time.
 */
export default class EarlierUsage {
  private parts: EarlierPart[] = [];

  private passedOn = 0;

  /** Whether there are requests that were not passed on. */
  get isDue(): boolean {
    return this.parts.length > this.passedOn;
  }

  /**
   * Adds requests of a tenant.
   *
   * @param name - name of the tenant
   * @param admitted - requests that were admitted
   * @param atMs - when they arrived
   */
  add(name: string, admitted: number, atMs: number): void {
    this.parts.push({ name, admitted, atMs });
  }

  /**
   * Returns what was added, or what was added since it was last passed on.
   *
   * @param isComplete - whether to return all
   * @param windowMs - age above which requests are not counted, in milliseconds
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the requests by age and tenant
   */
  collect(isComplete: boolean, windowMs: number, nowMs: number): QuotaHistory {
    const sums = new Map<number, Record<string, number>>();
    this.parts.slice(isComplete ? 0 : this.passedOn).forEach(({ name, admitted, atMs }) => {
      const ageMs = Math.floor((nowMs - atMs) / PART_MS) * PART_MS;
      if (ageMs > windowMs) return;
      const part = sums.get(ageMs) ?? {};
      sums.set(ageMs, part);
      // A tenant may be called like a property that every object has.
      part[name] = (Object.hasOwn(part, name) ? part[name] ?? 0 : 0) + admitted;
    });
    if (!isComplete) this.passedOn = this.parts.length;
    return [...sums].map(([ageMs, admitted]) => ({ ageMs, admitted }));
  }

  /** Drops requests that are not counted any more. */
  expire(beforeMs: number): void {
    if (this.isDue || !this.parts.some(({ atMs }) => atMs < beforeMs)) return;
    this.parts = this.parts.filter(({ atMs }) => atMs >= beforeMs);
    this.passedOn = this.parts.length;
  }
}
