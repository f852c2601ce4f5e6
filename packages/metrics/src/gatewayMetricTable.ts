/** Metrics that a VM in declared mode serves in the Prometheus text exposition format. */
const gatewayMetricTable = {
  requests_total: {
    type: 'counter', tags: ['service', 'decision'], meaning: 'finished requests by what was decided',
  },
  request_seconds: {
    type: 'histogram', tags: ['service'], meaning: 'time from arrival to the end of the answer, of answered requests',
  },
  attempts_total: {
    type: 'counter', tags: ['service', 'outcome'], meaning: 'attempts on targets by what came of them',
  },
  hedges_total: {
    type: 'counter', tags: ['service', 'outcome'], meaning: 'late requests for which a second attempt was wanted: `won` and `lost` tell which attempt was answered first, `failed` that neither was; `refused-share`, `refused-budget`, `refused-queue`, `refused-target`, `refused-attempts` and `refused-body` name the limit that did not allow it',
  },
  relayed_requests_total: {
    type: 'counter', tags: ['service', 'outcome'], meaning: 'requests given to other entries by what came of them',
  },
  served_for_entries_total: {
    type: 'counter', tags: ['service'], meaning: 'requests that other entries relayed to this one',
  },
  unreachable_services: {
    type: 'gauge', tags: [], meaning: 'services of which no target answers this VM',
  },
  waiting_requests: {
    type: 'gauge', tags: [], meaning: 'requests that wait for a target',
  },
  probes_total: {
    type: 'counter', tags: [], meaning: 'probes sent to targets',
  },
  unwritten_probes_total: {
    type: 'counter', tags: [], meaning: 'probes that no connection had taken when their time was over, so that their target has not seen them',
  },
  unanswered_probes_total: {
    type: 'counter', tags: [], meaning: 'probes that were written and had no response when their time was over',
  },
  targets: {
    type: 'gauge', tags: [], meaning: 'targets known',
  },
  limited_targets: {
    type: 'gauge', tags: [], meaning: 'targets that name a limit on the requests they take',
  },
  running_rollouts: {
    type: 'gauge', tags: [], meaning: 'versions that are being brought in',
  },
  rollout_sends_total: {
    type: 'counter', tags: [], meaning: 'requests sent to versions while they were brought in',
  },
  sharing_entries: {
    type: 'gauge', tags: [], meaning: 'entries that divide limits with this one; 0 while it has no share',
  },
  refused_retries_total: {
    type: 'counter', tags: [], meaning: 'retries that the retry budget did not allow',
  },
  keys: {
    type: 'gauge', tags: [], meaning: 'keys of tenants in force on this VM; 0 at control VMs',
  },
  refused_keys_total: {
    type: 'counter', tags: [], meaning: 'requests refused because they carried no valid key, or several',
  },
  unproven_keys_total: {
    type: 'counter', tags: [], meaning: 'requests with a key refused because control had not confirmed in time that the keys of this VM are in force',
  },
  quota_asked_total: {
    type: 'counter', tags: [], meaning: 'requests of tenants with a quota that callers sent to this VM',
  },
  quota_admitted_total: {
    type: 'counter', tags: [], meaning: 'those of them that the quota allowed',
  },
  quota_refused_total: {
    type: 'counter', tags: [], meaning: 'those of them that were refused, as the quota of the tenant was used up',
  },
  quota_limited_tenants: {
    type: 'gauge', tags: [], meaning: 'tenants of which only a share of the requests is admitted now',
  },
  declaration_version: {
    type: 'gauge', tags: [], meaning: 'version of the declaration in force on this VM',
  },
  is_current: {
    type: 'gauge', tags: [], meaning: '1 while the VM follows control, or hears the leader; else 0',
  },
  leader_silence_seconds: {
    type: 'gauge', tags: [], meaning: 'time since a control VM last led or heard the leader; 0 at entries',
  },
  silent_members: {
    type: 'gauge', tags: [], meaning: 'members of the control group that do not respond to this VM, if it leads',
  },
  pending_write_seconds: {
    type: 'gauge', tags: [], meaning: 'time for which a write to the data folder has been running or refused; 0 if there is none, and at entries',
  },
  build_info: {
    type: 'gauge', tags: ['build'], meaning: 'always 1; the label is the id of the build that the VM runs',
  },
  shared_messages_version: {
    type: 'gauge', tags: [], meaning: 'lowest version of the messages that this VM and the VMs in session with it tell',
  },
  unbound_listeners: {
    type: 'gauge', tags: [], meaning: 'listeners of the VM whose address is in use by other software',
  },
  held_bytes: {
    type: 'gauge', tags: ['kind'], meaning: 'bytes held for clients, as the account of the process counts them: connections, requests, bodies, waitingBodies, responses, calls',
  },
  held_limit_bytes: {
    type: 'gauge', tags: [], meaning: 'bytes that the process may hold for its clients',
  },
  evictions_total: {
    type: 'counter', tags: [], meaning: 'idle connections closed to make room for others',
  },
  refused_reservations_total: {
    type: 'counter', tags: [], meaning: 'connections, requests and buffers refused because the account was full',
  },
  unexpected_errors_total: {
    type: 'counter', tags: [], meaning: 'exceptions that ended a session or a request; always 0 in correct operation',
  },
} as const;

export default gatewayMetricTable;
