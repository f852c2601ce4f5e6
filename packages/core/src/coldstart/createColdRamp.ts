import type ColdRamp from './ColdRamp';

const INITIAL_BACKOFF_MS = 100;

/** @returns the ramp of a target that has just started: one request in flight */
export default function createColdRamp(): ColdRamp {
  return {
    limit: 1,
    answers: 0,
    logSum: 0,
    previousMs: undefined,
    windows: 0,
    closedUntilMs: 0,
    backoffMs: INITIAL_BACKOFF_MS,
  };
}
