import type Logger from 'bunyan';

import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';
import CrashLedger from '@guavayard/core/quarantine/CrashLedger';
import type Clock from '@guavayard/core/types/Clock';

import type TargetProber from './TargetProber';

/** Pause before a target that broke a request off is probed: a crash takes a moment. */
const CHECK_MS = 100;

interface CrashWatchOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly prober: TargetProber;
  /** Tells the other entries of a crash. */
  readonly report: (fingerprint: string) => void;
}

/**
 * Finds out which requests crash targets. A target that breaks a request off and does not answer
 * a probe afterwards has crashed; one that answers has lost a connection only.
 */
export default class CrashWatch {
  private readonly ledger = new CrashLedger();

  constructor(private readonly options: CrashWatchOptions) {}

  /**
   * Notes that a target broke a request off without an answer.
   *
   * @param fingerprint - the request
   * @param target - the target
   */
  noteBroken(fingerprint: string, target: PlacedTarget): void {
    setTimeout(() => {
      this.options.prober.probe([target], () => {
        if (target.silentProbes === 0) return;
        this.noteCrash(fingerprint, target.record.id);
        this.options.report(fingerprint);
      });
    }, CHECK_MS);
  }

  /** Takes a crash that another entry has seen. */
  takeReport(fingerprint: string): void {
    this.noteCrash(fingerprint, undefined);
  }

  /** Notes that a target answered a request. */
  noteAnswer(fingerprint: string): void {
    if (!this.ledger.isEmpty) this.ledger.noteAnswer(fingerprint);
  }

  /** @returns true if the request must not be sent to any target again */
  isQuarantined(fingerprint: string): boolean {
    return !this.ledger.isEmpty
      && this.ledger.isQuarantined(fingerprint, this.options.clock());
  }

  private noteCrash(fingerprint: string, targetId: string | undefined): void {
    const count = this.ledger.noteCrash(fingerprint, this.options.clock());
    this.options.log.warn({ fingerprint, target: targetId, count }, 'target crashed under a request');
  }
}
