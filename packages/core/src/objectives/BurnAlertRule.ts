/** Multi-window burn-rate alert rule: fires if both windows reach the burn rate. */
interface BurnAlertRule {
  readonly severity: 'page' | 'ticket';
  readonly shortMs: number;
  readonly longMs: number;
  /** Minimum burn rate over both windows. */
  readonly burnRate: number;
}

export default BurnAlertRule;
