import type MetricRow from './MetricRow';

/**
 * The closed table of metrics. No tag takes a path, a tenant, a target or anything else that a
 * caller chooses: the number of series is bounded by services, error kinds and data centres.
 */
const metricTable = {
  requests: {
    type: 'counter', tags: ['service', 'result'], meaning: 'finished requests: good, slow or unavailable',
  },
  burns: {
    type: 'counter',
    tags: ['service', 'cause', 'target_data_centre'],
    meaning: 'requests that burn a budget, by cause and data centre of the target',
  },
  has_lease: { type: 'gauge', tags: [], meaning: '1 while the entry may dispatch, else 0' },
  configuration_version: { type: 'gauge', tags: [], meaning: 'version of the configuration held' },
  targets: { type: 'gauge', tags: ['state'], meaning: 'live targets known: cold, ready or draining' },
  owned_targets: { type: 'gauge', tags: [], meaning: 'targets that this entry owns and measures' },
  measuring_share: {
    type: 'gauge', tags: [], meaning: 'largest share of an owned target\'s slot time that probes took',
  },
  invariant_breaches: {
    type: 'gauge', tags: ['invariant'], meaning: 'broken invariants since the start; always 0',
  },
  memory_bytes: { type: 'gauge', tags: [], meaning: 'resident memory of the process' },
} as const satisfies Readonly<Record<string, MetricRow>>;

export default metricTable;
