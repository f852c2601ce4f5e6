import type ExchangeStep from './ExchangeStep';
import type FailureProof from './FailureProof';

/**
 * What a failure proves, by the step at which it occurs.
 *
 * A target may start to run a request at its first byte. Once the attempt has a connection, a
 * failure therefore never proves `not-run`, even if the headers or the body were not completely
 * written.
 */
const failureProofs: Readonly<Record<ExchangeStep, FailureProof>> = {
  queued: { outcome: 'not-run', evidence: 'refused' },
  connecting: { outcome: 'not-run', evidence: 'refused' },
  sending: { outcome: 'unknown', evidence: 'failed' },
  answering: { outcome: 'unknown', evidence: 'failed' },
  ended: { outcome: 'ran', evidence: 'answered' },
};

export default failureProofs;
