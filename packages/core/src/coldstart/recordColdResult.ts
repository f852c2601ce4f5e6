import type ColdRamp from './ColdRamp';

const MAX_BACKOFF_MS = 5000;
const BACKOFF_GROWTH = 2;
/** Good answers in a row, for each request in flight, before the limit widens. */
const GOOD_ANSWERS_PER_LIMIT = 8;
/** An answer is steady up to this multiple of the reference latency. */
const STEADY_RATIO = 2.5;

function shut(state: ColdRamp, nowMs: number): void {
  state.limit = 1;
  state.goodAnswers = 0;
  state.closedUntilMs = nowMs + state.backoffMs;
  state.backoffMs = Math.min(MAX_BACKOFF_MS, state.backoffMs * BACKOFF_GROWTH);
}

/**
 * Takes the result of a request to a cold target: widens its limit on good answers with steady
 * latency, and shuts it for a while on a failure.
 *
 * @param state - the ramp
 * @param isGood - whether a whole, good answer came
 * @param latencyMs - latency of the answer
 * @param referenceMs - median latency of warm targets of the service
 * @param nowMs - monotonic clock, in milliseconds
 */
export default function recordColdResult(
  state: ColdRamp,
  isGood: boolean,
  latencyMs: number,
  referenceMs: number,
  nowMs: number,
): void {
  if (!isGood) {
    shut(state, nowMs);
    return;
  }
  state.bestMs = Math.min(state.bestMs, latencyMs);
  if (latencyMs > referenceMs * STEADY_RATIO) {
    state.goodAnswers = Math.max(0, state.goodAnswers - 1);
    return;
  }
  state.goodAnswers += 1;
  if (state.goodAnswers < state.limit * GOOD_ANSWERS_PER_LIMIT) return;
  state.goodAnswers = 0;
  state.limit += 1;
}
