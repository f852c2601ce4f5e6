import type LimitShare from './LimitShare';

/** Requests that all holders together may send at once, beyond a second's worth of the limit. */
const EXTRA_BURST = 3;
/** Requests that one holder may send at once, so that a share is kept while no request needs it. */
const HOLDER_BURST = 2;
/** Least requests per second that a target is sent, so that it can withdraw its limit. */
const MIN_REQUESTS_PER_SECOND = 0.1;

/**
 * Divides a target's request limit between entries that do not coordinate their requests. The
 * number of holders grows with the limit: a holder with a share of less than one request could
 * send one at any moment, so more holders than the allowed burst would exceed the limit together.
 *
 * Load pattern: hundreds of entries in front of a target that takes one request per second.
 *
 * @param requestsPerSecond - the limit of all entries together
 * @param entryCount - entries that may need the target
 * @returns the share of each holder; their rates add up to the limit
 */
export default function calculateLimitShare(
  requestsPerSecond: number,
  entryCount: number,
): LimitShare {
  const rate = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
  const totalBurst = Math.floor(rate) + EXTRA_BURST;
  const holders = Math.max(1, Math.min(entryCount, Math.floor(totalBurst / HOLDER_BURST)));
  return { holders, requestsPerSecond: rate / holders, burst: Math.floor(totalBurst / holders) };
}
