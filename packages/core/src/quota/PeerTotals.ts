import type QuotaCount from './QuotaCount';
import type QuotaState from './QuotaState';

type Totals = Readonly<Record<string, QuotaCount>>;

/** What is known of one start of another control VM. */
interface KnownRun {
  readonly startId: string;
  heardAtMs: number;
  readonly totals: Map<string, QuotaCount>;
}

/**
 * Totals of other control VMs. As they are sums since a start, what is lost with a session comes
 * with the next message, and what is repeated counts once.
 */
export default class PeerTotals {
  private readonly runs = new Map<string, KnownRun>();

  /** @param windowMs - time after which requests are not counted any more, in milliseconds */
  constructor(private readonly windowMs: number) {}

  /**
   * Records totals.
   *
   * @param peer - name of the control VM
   * @param startId - id of its start
   * @param totals - requests by tenant since that start
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the requests that are new, by tenant
   */
  record(peer: string, startId: string, totals: Totals, nowMs: number): [string, QuotaCount][] {
    let run = this.runs.get(peer);
    if (run?.startId !== startId) {
      // It has sent no state, as it had counted nothing when the session opened.
      run = { startId, heardAtMs: nowMs, totals: new Map() };
      this.runs.set(peer, run);
    }
    run.heardAtMs = nowMs;
    const { totals: before } = run;
    return Object.entries(totals).map(([name, total]) => {
      const [askedBefore, admittedBefore] = before.get(name) ?? [0, 0];
      before.set(name, total);
      const [asked, admitted] = total;
      return [name, [Math.max(0, asked - askedBefore), admitted - admittedBefore]];
    });
  }

  /**
   * Records the state that another control VM sends when a session with it opens.
   *
   * @param peer - name of the control VM
   * @param startId - id of its start
   * @param state - its totals and levels
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the requests that are new, by tenant; undefined if it has counted others before, which
   *   only its levels show
   */
  open(
    peer: string,
    startId: string,
    { uptimeMs, totals }: QuotaState,
    nowMs: number,
  ): [string, QuotaCount][] | undefined {
    const run = this.runs.get(peer);
    const isKnown = run?.startId === startId && nowMs - run.heardAtMs < this.windowMs;
    // All that a VM has counted that has just started lies within a window.
    if (isKnown || uptimeMs < this.windowMs) return this.record(peer, startId, totals, nowMs);
    this.runs.set(peer, { startId, heardAtMs: nowMs, totals: new Map(Object.entries(totals)) });
    return undefined;
  }
}
