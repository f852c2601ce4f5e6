import type Logger from 'bunyan';

import MetricsTask from '@guavayard/metrics/MetricsTask';
import sendStatusMetrics from '@guavayard/metrics/sendStatusMetrics';
import StatsdSink from '@guavayard/metrics/StatsdSink';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';

import type VmReports from './VmReports';

/**
 * Creates the task that sends the metrics of a VM.
 *
 * @param statsd - address of the statsd server, undefined if metrics are off
 * @param identity - identity of the VM
 * @param reports - source of the VM's status
 * @param log - the log of the VM
 * @returns the task, not yet started, or undefined if metrics are off
 */
export default function createMetrics(
  statsd: string | undefined,
  identity: VmIdentity,
  reports: VmReports,
  log: Logger,
): MetricsTask | undefined {
  if (statsd === undefined) return undefined;
  const tags = { vm: identity.name, region: identity.region, data_centre: identity.dataCentre };
  const sink = new StatsdSink(statsd, tags, (err) => {
    log.warn({ reason: err.message }, 'metrics cannot be sent');
  });
  const task = new MetricsTask(sink);
  task.addSource((target) => sendStatusMetrics(reports.status(), target));
  return task;
}
