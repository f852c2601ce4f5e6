import type ExchangeState from './ExchangeState';

/** Most retries of one request. */
const MAX_RETRIES = 2;

/**
 * Creates the state of an exchange that waits for its first target.
 *
 * @param isIdempotent - whether the request may be repeated
 * @param mayRetry - false where another layer of a chain of calls retries
 * @returns the state
 */
export default function createExchange(isIdempotent: boolean, mayRetry: boolean): ExchangeState {
  return {
    step: 'queued',
    isIdempotent,
    retriesLeft: mayRetry ? MAX_RETRIES : 0,
    attempts: 0,
    uncertainFailure: undefined,
    isForwarding: false,
    isMarkedNotRun: false,
    heldBytes: 0,
  };
}
