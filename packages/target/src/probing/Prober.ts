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
/** A target that has told its load within this time needs no probe. */
const SILENCE_MS = 300;
const KEEP_ALIVE_MS = 60_000;

/** Asks the silent targets that this entry owns for their load. It owns its connections. */
export default class Prober {
  private readonly agent = new Agent({
    connections: 1, pipelining: 1, keepAliveTimeout: KEEP_ALIVE_MS,
  });

  private readonly ledgers = new Map<string, ProbeLedger>();

  private probes = 0;

  private usedShare = 0;

  /**
   * @param self - name of this entry
   * @param directory - the targets
   * @param listener - keeps what the targets tell
   * @param clock - monotonic clock
   */
  constructor(
    private readonly self: string,
    private readonly directory: TargetDirectory,
    private readonly listener: LoadListener,
    private readonly clock: Clock,
  ) {}

  /** What probes have cost since the start. */
  get cost(): MeasuringCost {
    return { probes: this.probes, usedShare: this.usedShare, budgetShare: probeBudget.share };
  }

  /** Probes the targets whose turn it is. To be called every now and then. */
  tick(): void {
    const nowMs = this.clock();
    const owned = this.directory.all().filter((target) => target.owner === this.self);
    this.forgetOthers(owned);
    owned
      .filter(({ state, probePath }) => state === 'ready' && probePath !== undefined)
      .forEach((target) => this.consider(target, nowMs));
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private forgetOthers(owned: readonly KnownTarget[]): void {
    const ids = new Set(owned.map((target) => target.id));
    this.ledgers.forEach((_ledger, id) => {
      if (!ids.has(id)) this.ledgers.delete(id);
    });
  }

  private consider(target: KnownTarget, nowMs: number): void {
    const ledger = this.ledgers.get(target.id) ?? createProbeLedger(nowMs);
    this.ledgers.set(target.id, ledger);
    if (nowMs - this.listener.heardAtMs(target) < SILENCE_MS) return;
    if (!beginProbe(ledger, target.slots, nowMs)) return;
    this.probes += 1;
    this.probe(target).catch(() => undefined).then((loadHeader) => {
      const endMs = this.clock();
      finishProbe(ledger, endMs - nowMs);
      this.usedShare = Math.max(this.usedShare, measureShare(ledger, target.slots, endMs));
      if (loadHeader !== undefined) this.listener.takeProbe(target, loadHeader);
    });
  }

  private async probe(target: KnownTarget): Promise<string | undefined> {
    const answer = await request(`http://${target.address}${target.probePath ?? '/'}`, {
      dispatcher: this.agent,
      signal: AbortSignal.timeout(probeBudget.timeoutMs),
    });
    await answer.body.dump();
    const value = answer.headers[LOAD_HEADER];
    return typeof value === 'string' ? value : undefined;
  }
}
