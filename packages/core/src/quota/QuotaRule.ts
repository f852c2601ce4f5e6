/** How far the requests of a tenant over all entries may exceed its rate and burst. */
interface QuotaRule {
  /** Length of the window that the rule holds for, in milliseconds. */
  readonly windowMs: number;
  /** Tolerated requests beyond rate and burst, as a share of them. */
  readonly overage: number;
  /** Tolerated requests beyond that. */
  readonly slack: number;
}

export default QuotaRule;
