import type QuotaRule from '@guavayard/core/quota/QuotaRule';

import type GatewaySettings from './GatewaySettings';

const MS_PER_SECOND = 1000;

/**
 * Converts the settings of quotas.
 *
 * @param settings - settings of the VM
 * @returns the rule, undefined if the settings name none and rates of tenants are not limits
 */
export default function createQuotaRule({ quota }: GatewaySettings): QuotaRule | undefined {
  if (quota === undefined) return undefined;
  const { windowSeconds, overage, slack } = quota;
  return { windowMs: windowSeconds * MS_PER_SECOND, overage, slack };
}
