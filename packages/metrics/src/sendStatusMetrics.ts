import type VmStatus from '@guavayard/core/types/VmStatus';

import type MetricSink from './MetricSink';

/**
 * Sends the metrics that reflect the current status of a VM.
 *
 * @param status - status of the VM
 * @param sink - destination of the metrics
 */
export default function sendStatusMetrics(status: VmStatus, sink: MetricSink): void {
  const { entry } = status;
  sink.send('memory_bytes', status.memoryBytes, {});
  if (status.version !== undefined) sink.send('configuration_version', status.version, {});
  if (entry === undefined) return;
  sink.send('has_lease', entry.hasLease ? 1 : 0, {});
  sink.send('owned_targets', entry.ownedTargets, {});
  Object.entries(entry.targets)
    .forEach(([state, count]) => sink.send('targets', count, { state }));
  Object.entries(entry.invariants)
    .forEach(([invariant, count]) => sink.send('invariant_breaches', count, { invariant }));
  if (entry.measuring !== undefined) sink.send('measuring_share', entry.measuring.usedShare, {});
}
