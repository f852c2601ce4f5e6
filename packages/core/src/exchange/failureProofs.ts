import type ExchangeStep from './ExchangeStep';
import type FailureProof from './FailureProof';

/**
 * What a failure proves, by the step at which it happens.
 *
 * A target may run a request from its first byte on, so nothing is proved once a connection has
 * been given to the attempt, even if the headers or the body are half written.
 */
const failureProofs: Readonly<Record<ExchangeStep, FailureProof>> = {
  queued: { outcome: 'not-run', evidence: 'refused' },
  connecting: { outcome: 'not-run', evidence: 'refused' },
  sending: { outcome: 'unknown', evidence: 'failed' },
  answering: { outcome: 'unknown', evidence: 'failed' },
  ended: { outcome: 'ran', evidence: 'answered' },
};

export default failureProofs;
