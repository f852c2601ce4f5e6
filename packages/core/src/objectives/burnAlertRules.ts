import type BurnAlertRule from './BurnAlertRule';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/**
 * Multi-window, multi-burn-rate alert rules. The long window detects a significant loss of error
 * budget; the short window detects that the budget is still burning, so that an alert stops soon
 * after its cause. For a 30-day budget, the rates correspond to 2% of the budget in 1 hour, 5% in
 * 6 hours and 10% in 3 days.
 */
const burnAlertRules: readonly BurnAlertRule[] = [
  {
    severity: 'page', shortMs: 5 * MINUTE_MS, longMs: HOUR_MS, burnRate: 14.4,
  },
  {
    severity: 'page', shortMs: 30 * MINUTE_MS, longMs: 6 * HOUR_MS, burnRate: 6,
  },
  {
    severity: 'ticket', shortMs: 6 * HOUR_MS, longMs: 3 * DAY_MS, burnRate: 1,
  },
];

export default burnAlertRules;
