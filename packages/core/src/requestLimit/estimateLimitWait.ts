import type RequestLimit from './RequestLimit';

const MS_PER_SECOND = 1000;
/** Upper bound of the estimate, in milliseconds. */
const MAX_WAIT_MS = 10_000;

/**
 * Estimates when an entry may send one more request to some targets whose limits are used up.
 *
 * Load pattern: all targets of a service have limits, and more requests arrive than these add up
 * to. Callers that are refused are told to return when the entry has a request left for them, or,
 * if it has no share, after the interval at which each entry could serve one.
 *
 * @param limits - limits of the targets
 * @param before - requests that are served first
 * @param entryCount - entries of the system
 * @param nowMs - monotonic clock
 * @returns the time in milliseconds, undefined without a limit
 */
export default function estimateLimitWait(
  limits: readonly RequestLimit[],
  before: number,
  entryCount: number,
  nowMs: number,
): number | undefined {
  if (limits.length === 0) return undefined;
  const allowances = limits.flatMap(({ allowance }) => allowance ?? []);
  const ownRate = allowances.reduce((sum, { rate }) => sum + rate, 0);
  const totalRate = limits.reduce((sum, { requestsPerSecond }) => sum + requestsPerSecond, 0);
  const firstMs = Math.min(MAX_WAIT_MS, ...allowances.map((each) => each.waitMs(1, nowMs)));
  const usedRate = ownRate > 0 ? ownRate : totalRate / Math.max(1, entryCount);
  if (usedRate === 0) return MAX_WAIT_MS;
  const spreadMs = (before / usedRate) * MS_PER_SECOND;
  const startMs = ownRate > 0 ? firstMs : MS_PER_SECOND / usedRate;
  return Math.min(MAX_WAIT_MS, startMs + spreadMs);
}
