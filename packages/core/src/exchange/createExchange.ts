import type ExchangeState from './ExchangeState';

/** Maximum number of retries per request. */
const MAX_RETRIES = 2;

/**
 * Creates the state of an exchange that waits for its first target.
 *
 * @param isIdempotent - whether the request may run more than once
 * @param mayRetry - false if another layer of the call chain retries
 * @returns the initial state
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
    bufferedBytes: 0,
  };
}
