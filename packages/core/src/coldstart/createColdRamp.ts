import type ColdRamp from './ColdRamp';

const INITIAL_BACKOFF_MS = 100;

/** @returns the initial ramp of a target that has just started, with one request in flight */
export default function createColdRamp(): ColdRamp {
  return {
    limit: 1,
    responses: 0,
    logLatencySum: 0,
    previousMeanMs: undefined,
    windows: 0,
    backoffUntilMs: 0,
    backoffMs: INITIAL_BACKOFF_MS,
  };
}
