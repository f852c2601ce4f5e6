import type KeyDecision from './KeyDecision';
import type KeyRecord from './KeyRecord';

/**
 * Decides a claim on a key that has a record of another arrival.
 *
 * @param record - the record
 * @param fingerprint - hash of the request that claims
 * @param isRunnerAlive - whether the entry that runs the earlier arrival is a member
 * @returns what becomes of the claim
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
  const mayRun = record.state === 'pending' && isRunnerAlive && record.runLeftMs > 0;
  return mayRun ? { kind: 'joined' } : { kind: 'unknown' };
}
