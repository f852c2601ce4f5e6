/** When a budget burns fast enough to call for somebody. */
interface BurnAlertRule {
  readonly severity: 'page' | 'ticket';
  readonly shortMs: number;
  readonly longMs: number;
  /** Least burn rate over both windows. */
  readonly burnRate: number;
}

export default BurnAlertRule;
