import type AvoidedPeer from './AvoidedPeer';
import type RelayRefusal from './RelayRefusal';
import relayLimits from './relayLimits';

/** Why an entry was not given a request: its own reason, or that it did not answer the question. */
type RefusalReason = RelayRefusal | 'no answer' | 'session lost';

/**
 * Decides for how long an entry that has not taken a request is avoided.
 *
 * @param reason - why it was not given the request
 * @param nowMs - monotonic clock
 * @returns how it is avoided
 */
export default function avoidPeer(reason: RefusalReason, nowMs: number): AvoidedPeer {
  const isFirm = reason === 'unreachable' || reason === 'stopping';
  return {
    sinceMs: nowMs,
    untilMs: nowMs + (isFirm ? relayLimits.firmAvoidMs : relayLimits.briefAvoidMs),
    isFirm,
    reason,
  };
}
