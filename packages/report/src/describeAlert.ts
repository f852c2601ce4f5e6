import type BurnReport from '@guavayard/core/objectives/BurnReport';

import describeDuration from './describeDuration';

type Alert = BurnReport['services'][number]['burns'][number]['alerts'][number];

/**
 * Describes an alert.
 *
 * @param alert - the alert
 * @returns for example `page 5 min/1 h`
 */
export default function describeAlert(alert: Alert): string {
  return `${alert.severity} ${describeDuration(alert.shortMs)}/${describeDuration(alert.longMs)}`;
}
