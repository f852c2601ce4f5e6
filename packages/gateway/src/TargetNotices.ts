import type Logger from 'bunyan';

import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';
import grantRest from '@guavayard/core/rest/grantRest';
import isResting from '@guavayard/core/rest/isResting';
import type Clock from '@guavayard/core/types/Clock';
import type Random from '@guavayard/core/types/Random';

/** Shortest remaining warm-up time that is logged, in milliseconds. */
const MIN_LOGGED_COLD_MS = 100;

interface TargetNoticesOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** Tells control that an incarnation of a target is about to leave. */
  readonly reportLeaving: (targetId: string, bornAtMs: number) => void;
}

/** Keeps what targets say of themselves in responses to requests and probes. */
export default class TargetNotices {
  constructor(private readonly options: TargetNoticesOptions) {}

  /** Records the remaining warm-up time that a target reported. */
  recordColdLeft(target: PlacedTarget, coldLeftMs: number): void {
    const state = target;
    const nowMs = this.options.clock();
    const wasCold = state.coldUntilMs > nowMs;
    state.coldUntilMs = coldLeftMs > 0 ? nowMs + coldLeftMs : -Infinity;
    if (!wasCold && coldLeftMs > MIN_LOGGED_COLD_MS) {
      this.options.log.info({ target: state.record.id, coldLeftMs }, 'target is cold');
    }
  }

  /** Records what control says of the remaining warm-up time, which may be older than a probe. */
  extendCold(target: PlacedTarget, coldLeftMs: number): void {
    const knownLeftMs = target.coldUntilMs - this.options.clock();
    if (coldLeftMs > Math.max(0, knownLeftMs)) this.recordColdLeft(target, coldLeftMs);
  }

  /**
   * Records that a target asked to be left alone.
   *
   * @param target - the target
   * @param restMs - for how long, in milliseconds
   * @param source - kind of the response that says so
   */
  recordRest(target: PlacedTarget, restMs: number, source: 'request' | 'probe'): void {
    const { clock, random, log } = this.options;
    const nowMs = clock();
    const wasResting = isResting(target, nowMs);
    grantRest(target, restMs, random(), nowMs);
    // Refusals of requests that were under way already repeat the same wish.
    if (wasResting) return;
    log.info({
      target: target.record.id, service: target.record.service, restMs, source,
    }, 'target asks for time');
  }

  /** Records that a target that had asked for time serves requests again. */
  recordReturn(target: PlacedTarget): void {
    if (target.rest?.isReturning !== true || isResting(target, this.options.clock())) return;
    const state = target;
    state.rest = undefined;
    this.options.log.info({ target: target.record.id }, 'target serves again');
  }

  /**
   * Records whether a target says in a response that it is about to leave. It receives no further
   * requests, also if it goes on announcing itself as ready: it may not reach control.
   *
   * @param target - the target
   * @param isLeaving - what the response says
   * @param source - kind of the response
   */
  recordLeaving(target: PlacedTarget, isLeaving: boolean, source: 'request' | 'probe'): void {
    const state = target;
    const { id, service, bornAtMs } = target.record;
    if (!isLeaving) {
      if (source !== 'probe' || target.leaving?.isInProbes !== true) return;
      state.leaving = undefined;
      this.options.log.info({ target: id, service }, 'target does not leave after all');
      return;
    }
    const isNew = target.leaving === undefined;
    state.leaving = { isInProbes: source === 'probe' || target.leaving?.isInProbes === true };
    if (!isNew) return;
    this.options.log.info({ target: id, service, source }, 'target is about to leave');
    this.options.reportLeaving(id, bornAtMs);
  }
}
