import type ColdRamp from './ColdRamp';

const MAX_BACKOFF_MS = 5000;
const BACKOFF_GROWTH = 2;
/** Good answers whose latencies are judged together, for single ones vary too much. */
const WINDOW_ANSWERS = 32;
/** A window is as quick as warm targets up to this multiple of their median. */
const WARM_RATIO = 1.2;
/** A window is steady if it is not quicker than this multiple of the window before. */
const STEADY_RATIO = 0.9;
/** Without warm targets to compare with, a steady target is widened after this many windows. */
const STEADY_WINDOWS = 2;
/** A target that stays slower than its peers is widened after this many windows. */
const PATIENCE_WINDOWS = 10;

function startWindow(state: ColdRamp): void {
  state.answers = 0;
  state.logSum = 0;
}

function shut(state: ColdRamp, nowMs: number): void {
  startWindow(state);
  state.limit = 1;
  state.previousMs = undefined;
  state.windows = 0;
  state.closedUntilMs = nowMs + state.backoffMs;
  state.backoffMs = Math.min(MAX_BACKOFF_MS, state.backoffMs * BACKOFF_GROWTH);
}

function mayWiden(state: ColdRamp, meanMs: number, referenceMs: number | undefined): boolean {
  if (referenceMs !== undefined && meanMs <= referenceMs * WARM_RATIO) return true;
  const isSteady = state.previousMs !== undefined && meanMs >= state.previousMs * STEADY_RATIO;
  const windows = referenceMs === undefined ? STEADY_WINDOWS : PATIENCE_WINDOWS;
  return isSteady && state.windows >= windows;
}

/**
 * Takes the result of a request to a cold target: widens its limit after a window of good answers
 * that are as quick as those of warm targets, and shuts it for a while on a failure.
 *
 * @param state - the ramp
 * @param isGood - whether a whole, good answer came
 * @param latencyMs - latency of the answer
 * @param referenceMs - median latency of warm targets of the service, undefined if unknown
 * @param nowMs - monotonic clock, in milliseconds
 */
export default function recordColdResult(
  state: ColdRamp,
  isGood: boolean,
  latencyMs: number,
  referenceMs: number | undefined,
  nowMs: number,
): void {
  if (!isGood) {
    shut(state, nowMs);
    return;
  }
  state.answers += 1;
  state.logSum += Math.log(Math.max(latencyMs, Number.EPSILON));
  if (state.answers < WINDOW_ANSWERS) return;
  const meanMs = Math.exp(state.logSum / state.answers);
  startWindow(state);
  state.windows += 1;
  if (mayWiden(state, meanMs, referenceMs)) {
    state.limit += 1;
    state.windows = 0;
  }
  state.previousMs = meanMs;
}
