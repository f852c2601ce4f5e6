import type Logger from 'bunyan';

import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';
import type BrokenRun from '@guavayard/core/quarantine/BrokenRun';
import RunHistory from '@guavayard/core/quarantine/RunHistory';
import type Clock from '@guavayard/core/types/Clock';

import type TargetPool from './TargetPool';
import type TargetProber from './TargetProber';

/**
 * Delay before a target that broke off a request is probed, in milliseconds: a crash takes a
 * moment to complete.
 */
const PROBE_DELAY_MS = 100;
/** Other targets that are probed, to tell a crash from a broken path. */
const WITNESSES = 3;

interface CrashWatchOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly pool: TargetPool;
  readonly prober: TargetProber;
  /** Notifies the other entries of a crash. */
  readonly report: (fingerprint: string, targetId: string) => void;
  /** Notifies control and the other entries that a target has answered a request. */
  readonly reportAnswered: (fingerprint: string) => void;
}

/**
 * Detects which requests crash targets. A target that breaks off a request and does not answer a
 * probe afterwards has crashed, if other targets do answer; one that answers the probe has only
 * lost a connection.
 */
export default class CrashWatch {
  private readonly history = new RunHistory();

  constructor(private readonly options: CrashWatchOptions) {}

  /**
   * Records that a target broke off a request without a response, and probes the target to find
   * out whether it crashed.
   *
   * @param run - the run that was broken off
   * @param target - the target that ran the request
   */
  checkForCrash(run: BrokenRun, target: PlacedTarget): void {
    const { pool, prober } = this.options;
    setTimeout(() => {
      const witnesses = pool.paths.findWitnesses(target, WITNESSES);
      prober.probe([target, ...witnesses], (left) => {
        if (left > 0 || target.unansweredProbes === 0) return;
        // Silence of all of them is a broken path.
        const hasWitness = witnesses.length === 0
          || witnesses.some(({ lastAnswerAtMs }) => lastAnswerAtMs >= run.brokenAtMs);
        if (hasWitness) this.recordCrash(run);
      });
    }, PROBE_DELAY_MS);
  }

  /** Records a crash that another entry reported; older builds do not name the target. */
  recordReportedCrash(fingerprint: string, targetId?: string): void {
    this.history.recordReportedCrash(fingerprint, this.options.clock(), targetId);
    this.log(fingerprint, targetId);
  }

  /** Records the crashes of a request that control has known when this entry began to follow it. */
  recordKnownCrashes(fingerprint: string, count: number): void {
    this.history.recordKnownCrashes(fingerprint, count, this.options.clock());
  }

  /** Records that a target answered a request, which clears the request of earlier crashes. */
  recordResponse(fingerprint: string): void {
    const { clock, reportAnswered } = this.options;
    if (this.history.recordResponse(fingerprint, clock())) reportAnswered(fingerprint);
  }

  /** Records that a target answered a request at another entry. */
  recordReportedAnswer(fingerprint: string): void {
    this.history.recordResponse(fingerprint, this.options.clock());
  }

  /** @returns whether the request must not be sent to any target again */
  isQuarantined(fingerprint: string): boolean {
    return this.history.isQuarantined(fingerprint, this.options.clock());
  }

  private recordCrash(run: BrokenRun): void {
    const { clock, report } = this.options;
    const { fingerprint, targetId } = run;
    if (!this.history.recordCrash(run, clock())) return;
    this.log(fingerprint, targetId);
    if (this.history.mustReport(fingerprint, clock())) report(fingerprint, targetId);
  }

  private log(fingerprint: string, targetId: string | undefined): void {
    const count = this.history.count(fingerprint, this.options.clock());
    this.options.log.warn({ fingerprint, target: targetId, count }, 'target crashed under a request');
  }
}
