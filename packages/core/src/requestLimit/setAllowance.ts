import TokenBucket from '../limits/TokenBucket';
import type LimitShare from './LimitShare';
import type RequestLimit from './RequestLimit';

/**
 * Gives an entry its share of a request limit, or takes it away. A new share starts empty, because
 * the entry that had it before may just have used it.
 *
 * @param limit - the limit, changed in place
 * @param share - the share of each holder; undefined if this entry is none
 * @param nowMs - monotonic clock
 */
export default function setAllowance(
  limit: RequestLimit,
  share: LimitShare | undefined,
  nowMs: number,
): void {
  const state = limit;
  if (share === undefined) {
    state.allowance = undefined;
    return;
  }
  const { requestsPerSecond, burst } = share;
  if (state.allowance !== undefined) {
    state.allowance.setRate(requestsPerSecond, burst, nowMs);
    return;
  }
  state.allowance = new TokenBucket(requestsPerSecond, burst);
  // Starts the refill at this moment.
  state.allowance.available(nowMs);
  state.allowance.take(burst);
}
