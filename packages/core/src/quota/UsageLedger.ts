import type QuotaCount from './QuotaCount';

/** Requests by tenant that an entry reports in one message. */
type Usage = Readonly<Record<string, QuotaCount>>;

interface SentUsage {
  readonly sequence: number;
  readonly sinceMs: number;
  readonly sentAtMs: number;
  readonly usage: Usage;
}

/** What an entry reports in one message. */
interface UsageReport {
  readonly sequence: number;
  /** Time since the requests arrived, in milliseconds. */
  readonly ageMs: number;
  readonly usage: Usage;
}

function add(into: Record<string, QuotaCount>, usage: Usage): void {
  const sums = into;
  Object.entries(usage).forEach(([name, [asked, admitted]]) => {
    // A tenant may be called like a property that every object has.
    const [askedBefore, admittedBefore] = Object.hasOwn(sums, name) ? sums[name] ?? [0, 0] : [0, 0];
    sums[name] = [askedBefore + asked, admittedBefore + admitted];
  });
}

/** Time for which increments are added up in one place, in milliseconds. */
const BUCKET_MS = 500;

/** Increments that were not sent, since a point in time. */
interface UsageBucket {
  readonly sinceMs: number;
  readonly usage: Record<string, QuotaCount>;
}

/**
 * What an entry has to report to control: increments that were not sent yet, and those that no
 * control VM has confirmed. The latter are sent again when the entry follows another control VM, so
 * that they may be counted twice, but not lost. Increments older than a window are
 * dropped.
 */
export default class UsageLedger {
  private pending: UsageBucket[] = [];

  /** What was sent within a window. */
  private sent: SentUsage[] = [];

  private confirmed = 0;

  private sequence = 0;

  /** @param windowMs - time after which increments are not counted any more, in milliseconds */
  constructor(private readonly windowMs: number) {}

  /** Whether there is something to send. */
  get isDue(): boolean {
    return this.pending.length > 0;
  }

  /** When the oldest increments were sent that are not confirmed; undefined if all are. */
  get unconfirmedSinceMs(): number | undefined {
    return this.sent.find(({ sequence }) => sequence > this.confirmed)?.sentAtMs;
  }

  /**
   * Counts requests of a tenant.
   *
   * @param name - name of the tenant
   * @param count - requests asked for and admitted
   * @param nowMs - monotonic clock, in milliseconds
   */
  record(name: string, count: QuotaCount, nowMs: number): void {
    this.pending = this.pending.filter(({ sinceMs }) => nowMs - sinceMs <= this.windowMs);
    let last = this.pending.at(-1);
    if (last === undefined || nowMs - last.sinceMs > BUCKET_MS) {
      last = { sinceMs: nowMs, usage: {} };
      this.pending.push(last);
    }
    add(last.usage, { [name]: count });
  }

  /**
   * Takes what is to be sent, and keeps it until it is confirmed.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the next message, undefined if there is nothing to send
   */
  take(nowMs: number): UsageReport | undefined {
    this.sent = this.sent.filter(({ sinceMs }) => nowMs - sinceMs <= this.windowMs);
    this.pending = this.pending.filter(({ sinceMs, usage }) => (
      nowMs - sinceMs <= this.windowMs
        && Object.values(usage).some(([asked, admitted]) => asked !== 0 || admitted !== 0)));
    const next = this.pending.shift();
    if (next === undefined) return undefined;
    const { sinceMs, usage } = next;
    this.sequence += 1;
    const { sequence } = this;
    this.sent.push({
      sequence, sinceMs, sentAtMs: nowMs, usage,
    });
    return { sequence, ageMs: Math.max(0, Math.floor(nowMs - sinceMs)), usage };
  }

  /** Records that control has counted the increments up to a sequence number. */
  confirm(sequence: number): void {
    this.confirmed = Math.max(this.confirmed, sequence);
  }

  /**
   * Makes increments that were sent ready to be sent again, as the entry follows another
   * control VM.
   *
   * @param isComplete - whether those are included that a control VM has confirmed
   */
  restart(isComplete: boolean): void {
    const again = this.sent.filter(({ sequence }) => isComplete || sequence > this.confirmed);
    this.sent = this.sent.filter((usage) => !again.includes(usage));
    this.pending = [
      ...again.map(({ sinceMs, usage }) => ({ sinceMs, usage: { ...usage } })),
      ...this.pending,
    ];
  }
}
