import type QuotaDecision from '@guavayard/core/quota/QuotaDecision';
import type DeclaredTenant from '@guavayard/core/tenants/DeclaredTenant';

/** Where an entry's requests of tenants are counted and decided on. */
interface QuotaAccount {
  /** Decides on a request, and counts it. */
  readonly decide: (tenant: DeclaredTenant) => QuotaDecision;
  /** Counts requests without a decision; a negative number gives credit back. */
  readonly adjust: (tenant: DeclaredTenant, count: number) => void;
}

export default QuotaAccount;
