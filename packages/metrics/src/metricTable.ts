import type MetricRow from './MetricRow';

/**
 * All metrics that are sent to statsd. No tag holds a path, a tenant, a target or any other value
 * that a caller chooses, so services, error kinds and data centres bound the number of series.
 */
const metricTable = {
  requests: {
    type: 'counter', tags: ['service', 'result'], meaning: 'finished requests: good, slow or unavailable',
  },
  burns: {
    type: 'counter',
    tags: ['service', 'cause', 'target_data_centre'],
    meaning: 'requests that consume error budget, by cause and data centre of the target',
  },
  has_lease: { type: 'gauge', tags: [], meaning: '1 while the entry may dispatch, else 0' },
  configuration_version: { type: 'gauge', tags: [], meaning: 'version of the configuration that the VM holds' },
  targets: { type: 'gauge', tags: ['state'], meaning: 'known live targets: cold, ready or draining' },
  owned_targets: { type: 'gauge', tags: [], meaning: 'targets that this entry owns and probes' },
  measuring_share: {
    type: 'gauge', tags: [], meaning: 'largest share of an owned target\'s slot time that was used by probes',
  },
  invariant_breaches: {
    type: 'gauge', tags: ['invariant'], meaning: 'invariant violations since the start; always 0 in correct operation',
  },
  memory_bytes: { type: 'gauge', tags: [], meaning: 'resident memory of the process' },
} as const satisfies Readonly<Record<string, MetricRow>>;

export default metricTable;
