import type ColdRamp from './ColdRamp';

const MAX_BACKOFF_MS = 5000;
const BACKOFF_GROWTH = 2;
/** Successful responses per window. Single latencies vary too much to be compared. */
const WINDOW_RESPONSES = 32;
/** A window counts as warm if its mean is at most this multiple of the median of warm targets. */
const WARM_RATIO = 1.2;
/** A window counts as steady if its mean is at least this multiple of the previous one. */
const STEADY_RATIO = 0.9;
/** Windows after which the limit of a steady target rises without warm targets to compare with. */
const STEADY_WINDOWS = 2;
/** Windows after which the limit of a steady target rises although it is slower than its peers. */
const SLOW_WINDOWS = 10;

function startWindow(state: ColdRamp): void {
  state.responses = 0;
  state.logLatencySum = 0;
}

function backOff(state: ColdRamp, nowMs: number): void {
  startWindow(state);
  state.limit = 1;
  state.previousMeanMs = undefined;
  state.windows = 0;
  state.backoffUntilMs = nowMs + state.backoffMs;
  state.backoffMs = Math.min(MAX_BACKOFF_MS, state.backoffMs * BACKOFF_GROWTH);
}

function mayRaiseLimit(state: ColdRamp, meanMs: number, referenceMs: number | undefined): boolean {
  if (referenceMs !== undefined && meanMs <= referenceMs * WARM_RATIO) return true;
  const isSteady = state.previousMeanMs !== undefined
    && meanMs >= state.previousMeanMs * STEADY_RATIO;
  const windows = referenceMs === undefined ? STEADY_WINDOWS : SLOW_WINDOWS;
  return isSteady && state.windows >= windows;
}

/**
 * Records the result of a request to a cold target. Raises its concurrency limit after a window of
 * successful responses that are as fast as those of warm targets, or steady for several windows.
 * On a failure, resets the limit to 1 and pauses requests with exponential backoff.
 *
 * @param state - the ramp
 * @param isSuccess - whether a complete, successful response arrived
 * @param latencyMs - latency of the response, in milliseconds
 * @param referenceMs - median latency of warm targets of the service, in milliseconds; undefined
 *   if unknown
 * @param nowMs - monotonic clock, in milliseconds
 */
export default function recordColdResult(
  state: ColdRamp,
  isSuccess: boolean,
  latencyMs: number,
  referenceMs: number | undefined,
  nowMs: number,
): void {
  if (!isSuccess) {
    backOff(state, nowMs);
    return;
  }
  state.responses += 1;
  state.logLatencySum += Math.log(Math.max(latencyMs, Number.EPSILON));
  if (state.responses < WINDOW_RESPONSES) return;
  const meanMs = Math.exp(state.logLatencySum / state.responses);
  startWindow(state);
  state.windows += 1;
  if (mayRaiseLimit(state, meanMs, referenceMs)) {
    state.limit += 1;
    state.windows = 0;
  }
  state.previousMeanMs = meanMs;
}
