import type QuotaCount from './QuotaCount';

/** Requests by tenant that an entry reports in one message. */
type Usage = Readonly<Record<string, QuotaCount>>;

interface UnconfirmedUsage {
  readonly sequence: number;
  readonly sentAtMs: number;
  readonly usage: Usage;
}

function add(into: Record<string, QuotaCount>, usage: Usage): void {
  const sums = into;
  Object.entries(usage).forEach(([name, [asked, admitted]]) => {
    const [askedBefore, admittedBefore] = sums[name] ?? [0, 0];
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
 * that they may be counted twice, but not lost. What is older than a window matters no more and is
 * dropped.
 */
export default class UsageLedger {
  private pending: UsageBucket[] = [];

  private unconfirmed: UnconfirmedUsage[] = [];

  private sequence = 0;

  /** @param windowMs - time after which increments matter no more, in milliseconds */
  constructor(private readonly windowMs: number) {}

  /** Whether there is something to send. */
  get isDue(): boolean {
    return this.pending.length > 0;
  }

  /** When the oldest increments were sent that are not confirmed; undefined if all are. */
  get unconfirmedSinceMs(): number | undefined {
    return this.unconfirmed[0]?.sentAtMs;
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
  take(nowMs: number): Pick<UnconfirmedUsage, 'sequence' | 'usage'> | undefined {
    const sums: Record<string, QuotaCount> = {};
    this.pending.filter(({ sinceMs }) => nowMs - sinceMs <= this.windowMs)
      .forEach(({ usage }) => add(sums, usage));
    this.pending = [];
    const changed = Object.entries(sums)
      .filter(([, [asked, admitted]]) => asked !== 0 || admitted !== 0);
    if (changed.length === 0) return undefined;
    this.sequence += 1;
    const usage = Object.fromEntries(changed);
    this.unconfirmed.push({ sequence: this.sequence, sentAtMs: nowMs, usage });
    return { sequence: this.sequence, usage };
  }

  /** Forgets the increments up to a sequence number, as control has counted them. */
  confirm(sequence: number): void {
    this.unconfirmed = this.unconfirmed.filter((sent) => sent.sequence > sequence);
  }

  /** Makes the increments that are not confirmed ready to be sent again, to another control VM. */
  restart(): void {
    const again = this.unconfirmed
      .map(({ sentAtMs, usage }) => ({ sinceMs: sentAtMs, usage: { ...usage } }));
    this.pending = [...again, ...this.pending];
    this.unconfirmed = [];
  }
}
