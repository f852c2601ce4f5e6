import type Failure from '@guavayard/core/errors/Failure';

import type Attempt from './Attempt';
import type ExchangeDependencies from './ExchangeDependencies';

type AttemptLine = Parameters<ExchangeDependencies['log']['write']>[0]['attempts'][number];

/**
 * Describes an attempt for the request log.
 *
 * @param attempt - an attempt that has ended
 * @param verdict - its classification
 * @param failure - why the exchange failed; undefined if the response is complete
 * @param nowMs - monotonic clock
 * @returns the attempt's part of the log line
 */
export default function describeAttempt(
  attempt: Attempt,
  verdict: string,
  failure: Failure | undefined,
  nowMs: number,
): AttemptLine {
  const {
    startedAtMs, writtenAtMs, loadAgeMs, coldLeftMs, status,
  } = attempt;
  const result = failure === undefined ? status : failure.detail || failure.kind;
  return {
    target: attempt.target.record.id,
    load: attempt.load,
    slowness: attempt.slowness,
    loadAgeMs: loadAgeMs === undefined ? undefined : Math.round(loadAgeMs),
    ...(attempt.wasSilent ? { wasSilent: true } : {}),
    ...(attempt.isNewConnection ? { isNewConnection: true } : {}),
    ...(attempt.isHedge ? { isHedge: true } : {}),
    connectionMs: writtenAtMs === undefined ? undefined : Math.round(writtenAtMs - startedAtMs),
    ...(coldLeftMs > 0 ? { coldLeftMs: Math.round(coldLeftMs) } : {}),
    outcome: attempt.isSuperseded ? 'superseded' : `${verdict} ${result}`,
    ms: Math.round(nowMs - startedAtMs),
  };
}
