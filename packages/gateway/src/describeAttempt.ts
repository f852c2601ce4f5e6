import type Failure from '@guavayard/core/errors/Failure';

import type Attempt from './Attempt';
import type GatewayView from './GatewayView';

type AttemptLine = Parameters<GatewayView['log']['write']>[0]['attempts'][number];

/**
 * @param attempt - an attempt that has ended
 * @param verdict - what came of it
 * @param failure - why the exchange failed, undefined if the answer is whole
 * @param nowMs - monotonic clock
 * @returns what the log tells of it
 */
export default function describeAttempt(
  attempt: Attempt,
  verdict: string,
  failure: Failure | undefined,
  nowMs: number,
): AttemptLine {
  const { loadAgeMs, status } = attempt;
  return {
    target: attempt.target.record.id,
    load: attempt.load,
    slowness: attempt.slowness,
    loadAgeMs: loadAgeMs === undefined ? undefined : Math.round(loadAgeMs),
    outcome: failure === undefined ? `${verdict} ${status}` : `${verdict} ${failure.detail || failure.kind}`,
    ms: Math.round(nowMs - attempt.startedAtMs),
  };
}
