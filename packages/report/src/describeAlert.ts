import type BurnReport from '@guavayard/core/objectives/BurnReport';

import describeDuration from './describeDuration';

type Alert = BurnReport['services'][number]['burns'][number]['alerts'][number];

/**
 * Formats the severity and the two windows of an alert.
 *
 * @param alert - alert of an objective
 * @returns for example `page 5 min/1 h`
 */
export default function describeAlert(alert: Alert): string {
  return `${alert.severity} ${describeDuration(alert.shortMs)}/${describeDuration(alert.longMs)}`;
}
