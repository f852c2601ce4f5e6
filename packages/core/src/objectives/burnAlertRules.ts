import type BurnAlertRule from './BurnAlertRule';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/**
 * The pairs of windows that raise an alert. The long window tells that enough of the budget is
 * gone, the short one that it still burns. For a budget of 30 days the rates stand for 2% of it in
 * an hour, 5% in 6 hours and 10% in 3 days.
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
