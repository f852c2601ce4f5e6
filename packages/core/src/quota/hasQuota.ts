import type TenantLimit from './TenantLimit';

/**
 * @param tenant - rate and burst of a tenant
 * @returns whether its requests are limited; a rate or a burst of 0 means that they are not
 */
export default function hasQuota({ ratePerSecond, burst }: TenantLimit): boolean {
  return ratePerSecond > 0 && burst > 0;
}
