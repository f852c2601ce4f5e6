import type BurnReport from '@guavayard/core/objectives/BurnReport';

import describeAlert from './describeAlert';
import describeDuration from './describeDuration';
import describeObjective from './describeObjective';
import describeRate from './describeRate';
import describeService from './describeService';
import escapeHtml from './escapeHtml';
import pageStyle from './pageStyle';
import renderHtmlTable from './renderHtmlTable';
import renderPlot from './renderPlot';

type ServiceBurn = BurnReport['services'][number];

const LEGEND = '<p class="key"><span class="blue">availability</span>, <span class="orange">latency (dashed)</span>'
  + ' over 6 hours in steps of 5 minutes; <span class="red">dotted</span>: the alert thresholds 1, 6 and 14.4</p>';

function renderAlerts(service: ServiceBurn): string {
  const firing = service.burns.flatMap((burn) => burn.alerts
    .filter((alert) => alert.isFiring)
    .map((alert) => `${describeAlert(alert)}: ${burn.objective}`));
  if (firing.length === 0) return '<p>no alert</p>';
  return `<p class="alert">${escapeHtml(firing.join('; '))}</p>`;
}

function renderBurns(service: ServiceBurn, windows: readonly string[]): string {
  if (service.burns.length === 0) return '<p>no objectives</p>';
  const name = describeService(service.service);
  const rows = service.burns.map((burn) => [
    describeObjective(service, burn.objective, burn.share),
    ...burn.windows.map((window) => describeRate(window.burnRate)),
  ]);
  return renderPlot(`Burn rate of ${name} over 6 hours`, service.burns) + LEGEND
    + renderHtmlTable('Burn rate', [['objective', ...windows], ...rows]);
}

function renderCauses(service: ServiceBurn, windows: readonly string[]): string {
  if (service.causes.length === 0) return '';
  const rows = service.causes.map((row) => [
    row.cause, row.dataCentre ?? 'no target', ...row.counts.map(String),
  ]);
  return renderHtmlTable('Requests that consume error budget', [['cause', 'data centre', ...windows], ...rows]);
}

function renderService(service: ServiceBurn, windows: readonly string[]): string {
  const { p50, p99, p999 } = service.latencyMs;
  return `<section><h2>${escapeHtml(describeService(service.service))}</h2>${
    renderAlerts(service)
  }${renderBurns(service, windows)
  }${renderCauses(service, windows)
  }${renderHtmlTable('Requests', [windows, service.totals.map(String)])
  }<p class="key">latency of the last hours: p50 ${p50} ms, p99 ${p99} ms, p99.9 ${p999} ms</p></section>`;
}

function findHighestRate(service: ServiceBurn): number {
  const rates = service.burns.flatMap((burn) => burn.windows.map(({ burnRate }) => burnRate));
  return Math.max(0, ...rates);
}

function renderCoverage(report: BurnReport): string {
  const youngestMs = Math.min(...report.entries.map((entry) => entry.uptimeMs));
  const covered = report.entries.length === 0 ? '' : `; the youngest has run for ${describeDuration(youngestMs)}`;
  const silent = report.silent.length === 0 ? '' : `<p class="alert">no answer from ${escapeHtml(report.silent.join(', '))}</p>`;
  return `<p>${report.entries.length} entries counted${covered}</p>${silent}`;
}

/**
 * Renders the report on service-level burn as a self-contained HTML page.
 *
 * @param report - the report
 * @param createdAt - time at which the report was gathered, shown as given
 * @returns the HTML document
 */
export default function renderBurnPage(report: BurnReport, createdAt: string): string {
  const windows = report.windowsMs.map(describeDuration);
  const services = [...report.services]
    .sort((left, right) => findHighestRate(right) - findHighestRate(left))
    .map((service) => renderService(service, windows));
  return '<!doctype html><html lang="en"><head><meta charset="utf-8">'
    + '<meta name="viewport" content="width=device-width, initial-scale=1">'
    + `<title>Service-level burn</title><style>${pageStyle}</style></head><body>`
    + `<h1>Service-level burn</h1><p>${escapeHtml(createdAt)}</p>${renderCoverage(report)}`
    + `<main>${services.join('')}</main></body></html>\n`;
}
