import type KeyDecision from './KeyDecision';
import type KeyRecord from './KeyRecord';

/**
 * Decides a claim on a key that already has a record of an earlier arrival.
 *
 * @param record - record of the earlier arrival
 * @param fingerprint - hash of the claiming request
 * @param isRunnerAlive - whether the entry that runs the earlier arrival is still a member
 * @returns the decision on the claim
 */
export default function decideClaim(
  record: KeyRecord,
  fingerprint: string,
  isRunnerAlive: boolean,
): KeyDecision {
  if (record.fingerprint !== fingerprint) return { kind: 'conflict' };
  if (record.state === 'done') {
    const { answer } = record;
    return answer === undefined ? { kind: 'answerNotStored' } : { kind: 'answered', answer };
  }
  const isRunning = record.state === 'pending' && isRunnerAlive && record.runLeftMs > 0;
  return isRunning ? { kind: 'joined' } : { kind: 'unknown' };
}
