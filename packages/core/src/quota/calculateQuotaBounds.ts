import type QuotaRule from './QuotaRule';
import type TenantLimit from './TenantLimit';

const MS_PER_SECOND = 1000;
/**
 * Part of the tolerated excess by which the level may exceed the burst. It admits the bursts of
 * tenants of one request a second, whose declared burst is one or two requests. The rest covers
 * what entries admit before they know of a limit.
 */
const LEVEL_PART = 0.5;
/**
 * Part of the tolerated excess that a control VM starts with if no peer knows the level. Together
 * with the part above it stays below the whole, as the level before the start may have been spent
 * within the same window.
 */
const START_PART = 0.3;

interface QuotaBounds {
  /** Requests by rate and burst in one window. */
  readonly quota: number;
  /** Tolerated requests beyond these. */
  readonly excess: number;
  /** Highest level. */
  readonly maxLevel: number;
  /** Level of a control VM that starts and has no peer that knows it. */
  readonly startLevel: number;
}

/**
 * Calculates what the rule allows a tenant.
 *
 * @param limit - rate and burst of the tenant
 * @param rule - the rule
 * @returns the bounds, in requests
 */
export default function calculateQuotaBounds(
  { ratePerSecond, burst }: TenantLimit,
  { windowMs, overage, slack }: QuotaRule,
): QuotaBounds {
  const quota = (ratePerSecond * windowMs) / MS_PER_SECOND + burst;
  const excess = overage * quota + slack;
  const maxLevel = burst + LEVEL_PART * excess;
  return {
    quota, excess, maxLevel, startLevel: Math.min(maxLevel, START_PART * excess),
  };
}
