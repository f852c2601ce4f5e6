import { Err, Ok, type Result } from 'ts-results';

import type Failure from '@guavayard/core/errors/Failure';
import hasQuota from '@guavayard/core/quota/hasQuota';

import type GatewayRequest from './GatewayRequest';
import type QuotaAccount from './QuotaAccount';
import QuotaCredit from './QuotaCredit';

/** Why a request is refused, and when its caller may retry. */
interface QuotaRefusal {
  readonly failure: Failure;
  /** Delay after which the tenant has credit again, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Admits the requests of tenants within their quotas, and counts them. */
export default class QuotaGate {
  /** Requests of tenants with a quota that callers sent to this entry. */
  asked = 0;

  /** Those of them that were refused. */
  refused = 0;

  /** @param account - where requests are counted and decided on */
  constructor(private readonly account: QuotaAccount) {}

  /**
   * Decides on a request. It neither waits nor sends anything.
   *
   * @param request - the request; its tenant is undefined if it has none
   * @returns what it takes from the quota, undefined if it has none, or why it is refused
   */
  admit(
    { tenant, version, relayedBy }: Pick<GatewayRequest, 'tenant' | 'version' | 'relayedBy'>,
  ): Result<QuotaCredit | undefined, QuotaRefusal> {
    if (tenant === undefined || !hasQuota(tenant)) return Ok(undefined);
    // The entry that its caller is connected to has counted it.
    if (relayedBy !== undefined) return Ok(new QuotaCredit(this.account, tenant, false));
    this.asked += 1;
    const decision = this.account.decide(tenant);
    if (decision.isAdmitted) return Ok(new QuotaCredit(this.account, tenant, true));
    this.refused += 1;
    const { name, ratePerSecond, burst } = tenant;
    const quota = `tenant ${name}: ${ratePerSecond}/s, burst ${burst}, version ${version}`;
    return Err({
      failure: { kind: 'quotaExceeded', detail: `${quota}; ${decision.basis}` },
      retryAfterMs: decision.retryAfterMs,
    });
  }
}
