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
/** Interval at which a report waits for the end of the request, in milliseconds. */
const REPORT_STEP_MS = 100;
/** Maximum number of such intervals, so that other entries learn of crashes in time. */
const MAX_REPORT_STEPS = 10;

interface CrashWatchOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly pool: TargetPool;
  readonly prober: TargetProber;
  /** Notifies the other entries of a crash. */
  readonly report: (fingerprint: string) => void;
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
   * @param hasEnded - returns whether the request has ended; another target may answer it
   */
  checkForCrash(run: BrokenRun, target: PlacedTarget, hasEnded: () => boolean): void {
    const { pool, prober } = this.options;
    setTimeout(() => {
      const witnesses = pool.paths.findWitnesses(target, WITNESSES);
      prober.probe([target, ...witnesses], (left) => {
        if (left > 0 || target.unansweredProbes === 0) return;
        // Silence of all of them is a broken path.
        const hasWitness = witnesses.length === 0
          || witnesses.some(({ lastAnswerAtMs }) => lastAnswerAtMs >= run.brokenAtMs);
        if (hasWitness) this.recordCrash(run, hasEnded);
      });
    }, PROBE_DELAY_MS);
  }

  /** Records a crash that another entry reported. */
  recordReportedCrash(fingerprint: string): void {
    const { clock, reportAnswered } = this.options;
    if (this.history.recordReportedCrash(fingerprint, clock())) this.log(fingerprint, undefined);
    else reportAnswered(fingerprint);
  }

  /** Records the crashes of a request that control has known when this entry began to follow it. */
  recordKnownCrashes(fingerprint: string, count: number): void {
    const { clock, reportAnswered } = this.options;
    if (!this.history.recordKnownCrashes(fingerprint, count, clock())) reportAnswered(fingerprint);
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

  private recordCrash(run: BrokenRun, hasEnded: () => boolean): void {
    if (!this.history.recordCrash(run, this.options.clock())) return;
    this.log(run.fingerprint, run.targetId);
    this.reportCrash(run.fingerprint, hasEnded, MAX_REPORT_STEPS);
  }

  /** Reports a crash once the request has ended, unless targets answer it. */
  private reportCrash(fingerprint: string, hasEnded: () => boolean, stepsLeft: number): void {
    if (this.history.isMostlyAnswered(fingerprint, this.options.clock())) return;
    if (hasEnded() || stepsLeft === 0) {
      this.options.report(fingerprint);
      return;
    }
    setTimeout(() => this.reportCrash(fingerprint, hasEnded, stepsLeft - 1), REPORT_STEP_MS);
  }

  private log(fingerprint: string, targetId: string | undefined): void {
    const count = this.history.count(fingerprint, this.options.clock());
    this.options.log.warn({ fingerprint, target: targetId, count }, 'target crashed under a request');
  }
}
