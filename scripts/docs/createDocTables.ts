import commands from '@guavayard/cli/commands/commands';
import errorTable from '@guavayard/core/errors/errorTable';
import invariantTable from '@guavayard/core/invariants/invariantTable';
import burnAlertRules from '@guavayard/core/objectives/burnAlertRules';
import gatewayMetricTable from '@guavayard/metrics/gatewayMetricTable';
import metricTable from '@guavayard/metrics/metricTable';
import describeDuration from '@guavayard/report/describeDuration';

import type DocTable from './DocTable';
import listPages from './listPages';
import listSettings from './listSettings';

const errors = Object.entries(errorTable).map(([kind, row]) => [
  `\`${kind}\``, String(row.code), String(row.status), `\`${row.outcome}\``, row.retryable ? 'yes' : 'no', row.text,
]);

const metrics = Object.entries(metricTable).map(([name, row]) => [
  `\`guavayard.${name}\``, row.type, row.tags.join(', '), row.meaning,
]);

const gatewayMetrics = Object.entries(gatewayMetricTable).map(([name, row]) => [
  `\`guavayard_${name}\``, row.type, row.tags.join(', '), row.meaning,
]);

const invariants = Object.entries(invariantTable).map(([name, meaning]) => [`\`${name}\``, meaning]);

const alerts = burnAlertRules.map((rule) => [
  rule.severity,
  describeDuration(rule.shortMs),
  describeDuration(rule.longMs),
  String(rule.burnRate),
]);

const settings = listSettings().map((row) => [
  `\`${row.key}\``, row.type, row.required, row.description,
]);

const usages = commands.map((command) => [
  `\`${`${command.name} ${command.usage}`.trim().replaceAll('|', '\\|')}\``, command.summary,
]);

/**
 * Creates the documentation tables that are generated from the code.
 *
 * @returns the tables
 */
export default function createDocTables(): DocTable[] {
  return [
    { page: 'docs/API.md', name: 'errors', rows: [['`guavayard-error`', 'code', 'status', '`guavayard-outcome`', 'resend', 'meaning'], ...errors] },
    { page: 'docs/METRICS.md', name: 'metrics', rows: [['name', 'type', 'tags', 'meaning'], ...metrics] },
    { page: 'docs/METRICS.md', name: 'gateway metrics', rows: [['name', 'type', 'labels', 'meaning'], ...gatewayMetrics] },
    { page: 'docs/METRICS.md', name: 'invariants', rows: [['invariant', 'a breach means'], ...invariants] },
    { page: 'docs/OPERATIONS.md', name: 'alerts', rows: [['severity', 'short window', 'long window', 'burn rate over both'], ...alerts] },
    { page: 'docs/OPERATIONS.md', name: 'operations', rows: [['page', 'about'], ...listPages('operations')] },
    { page: 'docs/DESIGN.md', name: 'designs', rows: [['page', 'about'], ...listPages('design')] },
    { page: 'docs/SETTINGS.md', name: 'settings', rows: [['key', 'type', 'required', 'meaning'], ...settings] },
    { page: 'README.md', name: 'commands', rows: [['command', 'what it does'], ...usages] },
  ];
}
