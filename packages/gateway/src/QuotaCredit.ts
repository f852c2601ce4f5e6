import type DeclaredTenant from '@guavayard/core/tenants/DeclaredTenant';

import type QuotaAccount from './QuotaAccount';

/**
 * What one request takes from the quota of its tenant: one for the first send, one more for each
 * further send that a target may run, and nothing if no target can have run it.
 */
export default class QuotaCredit {
  private sends = 0;

  private isEnded = false;

  /**
   * @param account - where requests are counted
   * @param tenant - tenant of the request
   * @param isOwn - whether this entry has counted the request; else the entry that relays it has
   */
  constructor(
    private readonly account: QuotaAccount,
    private readonly tenant: DeclaredTenant,
    private readonly isOwn: boolean,
  ) {}

  /** Records that the request is sent to a target, or may have reached one by another entry. */
  recordSent(): void {
    this.sends += 1;
    if (this.sends > 1) this.account.adjust(this.tenant, 1);
  }

  /** Records that a target to which the request was sent has not run it. */
  recordNotRun(): void {
    if (this.sends > 1) this.account.adjust(this.tenant, -1);
    this.sends -= 1;
  }

  /**
   * Ends the request, and gives its credit back if it was not sent.
   *
   * @param mayHaveRun - whether it may have run whatever was recorded
   */
  end(mayHaveRun: boolean): void {
    if (this.isEnded) return;
    this.isEnded = true;
    if (this.isOwn && this.sends === 0 && !mayHaveRun) this.account.adjust(this.tenant, -1);
  }
}
