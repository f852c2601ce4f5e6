import type BurnReport from '@guavayard/core/objectives/BurnReport';

import describeAlert from './describeAlert';
import describeDuration from './describeDuration';
import describeObjective from './describeObjective';
import describeRate from './describeRate';
import describeService from './describeService';
import renderTable from './renderTable';

type ServiceBurn = BurnReport['services'][number];

function createBurnRows(service: ServiceBurn): string[][] {
  return service.burns.map((burn) => {
    const firing = burn.alerts.filter((alert) => alert.isFiring).map(describeAlert);
    return [
      describeService(service.service),
      describeObjective(service, burn.objective, burn.share),
      ...burn.windows.map((window) => describeRate(window.burnRate)),
      firing.length === 0 ? '-' : firing.join(', '),
    ];
  });
}

function createCauseRows(service: ServiceBurn): string[][] {
  return service.causes.map((row) => [
    describeService(service.service),
    row.cause,
    row.dataCentre ?? '-',
    ...row.counts.map(String),
  ]);
}

function createLatencyRow(service: ServiceBurn): string[] {
  const { p50, p99, p999 } = service.latencyMs;
  const numbers = [...service.totals, p50, p99, p999];
  return [describeService(service.service), ...numbers.map(String)];
}

function describeCoverage(report: BurnReport): string[] {
  const uptimesMs = report.entries.map((entry) => entry.uptimeMs);
  const covered = uptimesMs.length === 0 ? 'none' : describeDuration(Math.min(...uptimesMs));
  const lines = [`${report.entries.length} entries counted; the youngest has run for ${covered}`];
  if (report.silent.length > 0) lines.push(`no answer from: ${report.silent.join(', ')}`);
  return lines;
}

/**
 * Renders the report on service-level burn as plain text.
 *
 * @param report - the report
 * @returns the lines of text
 */
export default function renderBurnText(report: BurnReport): string[] {
  const windows = report.windowsMs.map(describeDuration);
  const burns = report.services.flatMap(createBurnRows);
  const causes = report.services.flatMap(createCauseRows);
  return [
    'Burn rate of each objective',
    ...renderTable([['service', 'objective', ...windows, 'alerts'], ...burns]),
    ...(burns.length === 0 ? ['no service has objectives'] : []),
    '',
    'Requests that consume error budget',
    ...renderTable([['service', 'cause', 'data centre', ...windows], ...causes]),
    ...(causes.length === 0 ? ['none'] : []),
    '',
    'Requests, and latency of the last hours in ms',
    ...renderTable([['service', ...windows, 'p50', 'p99', 'p99.9'], ...report.services.map(createLatencyRow)]),
    '',
    ...describeCoverage(report),
  ];
}
