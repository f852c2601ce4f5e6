import { Agent, request } from 'undici';

import type Clock from '@guavayard/core/types/Clock';
import type KnownTarget from '@guavayard/core/types/KnownTarget';

import type TargetDirectory from '../TargetDirectory';
import beginProbe from './beginProbe';
import createProbeLedger from './createProbeLedger';
import finishProbe from './finishProbe';
import type LoadListener from './LoadListener';
import measureShare from './measureShare';
import type MeasuringCost from './MeasuringCost';
import probeBudget from './probeBudget';
import type ProbeLedger from './ProbeLedger';

const LOAD_HEADER = 'guavayard-load';
/** A target that has reported its load within this time needs no probe. */
const MAX_LOAD_AGE_MS = 300;
const KEEP_ALIVE_MS = 60_000;

/** Probes owned targets that have not reported their load recently. It owns its connections. */
export default class Prober {
  private readonly agent = new Agent({
    connections: 1, pipelining: 1, keepAliveTimeout: KEEP_ALIVE_MS,
  });

  private readonly ledgers = new Map<string, ProbeLedger>();

  private probes = 0;

  private usedShare = 0;

  /**
   * @param self - name of this entry
   * @param directory - known targets of all entries
   * @param listener - receives the reported loads
   * @param clock - monotonic clock
   */
  constructor(
    private readonly self: string,
    private readonly directory: TargetDirectory,
    private readonly listener: LoadListener,
    private readonly clock: Clock,
  ) {}

  /** Cost of all probes since the entry started. */
  get cost(): MeasuringCost {
    return { probes: this.probes, usedShare: this.usedShare, budgetShare: probeBudget.share };
  }

  /** Probes every owned target that is due. Must be called periodically. */
  tick(): void {
    const nowMs = this.clock();
    const owned = this.directory.all().filter((target) => target.owner === this.self);
    this.removeUnownedLedgers(owned);
    owned
      .filter(({ state, probePath }) => state === 'ready' && probePath !== undefined)
      .forEach((target) => this.probeIfDue(target, nowMs));
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private removeUnownedLedgers(owned: readonly KnownTarget[]): void {
    const ids = new Set(owned.map((target) => target.id));
    this.ledgers.forEach((_ledger, id) => {
      if (!ids.has(id)) this.ledgers.delete(id);
    });
  }

  private probeIfDue(target: KnownTarget, nowMs: number): void {
    const ledger = this.ledgers.get(target.id) ?? createProbeLedger(nowMs);
    this.ledgers.set(target.id, ledger);
    if (nowMs - this.listener.lastReportedAtMs(target) < MAX_LOAD_AGE_MS) return;
    if (!beginProbe(ledger, target.slots, nowMs)) return;
    this.probes += 1;
    this.probe(target).catch(() => undefined).then((loadHeader) => {
      const endMs = this.clock();
      finishProbe(ledger, endMs - nowMs);
      this.usedShare = Math.max(this.usedShare, measureShare(ledger, target.slots, endMs));
      if (loadHeader !== undefined) this.listener.recordProbedLoad(target, loadHeader);
    });
  }

  private async probe(target: KnownTarget): Promise<string | undefined> {
    const response = await request(`http://${target.address}${target.probePath ?? '/'}`, {
      dispatcher: this.agent,
      signal: AbortSignal.timeout(probeBudget.timeoutMs),
    });
    await response.body.dump();
    const value = response.headers[LOAD_HEADER];
    return typeof value === 'string' ? value : undefined;
  }
}
