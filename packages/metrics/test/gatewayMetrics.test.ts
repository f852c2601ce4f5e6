import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';

import GatewayMetrics from '../src/GatewayMetrics';

test('counters, latencies and gauges are served as text', async (t) => {
  const metrics = new GatewayMetrics(() => ({
    waiting: 3,
    probes: 7,
    unwrittenProbes: 2,
    unansweredProbes: 3,
    targets: 2,
    limitedTargets: 1,
    unreachableServices: 2,
    sharingEntries: 4,
    refusedRetries: 9,
    keys: 5,
    refusedKeys: 11,
    unprovenKeys: 12,
    quotaAsked: 12,
    quotaRefused: 5,
    quotaLimitedTenants: 1,
    runningRollouts: 1,
    rolloutSends: 12,
    version: 26,
    isCurrent: true,
    leaderSilenceMs: 2500,
    silentMembers: 1,
    pendingWriteMs: 1500,
    errors: 0,
    unboundListeners: 1,
    sharedProtocolVersion: 2,
    held: [['bodies', 1024]],
    heldLimitBytes: 4096,
    evictions: 3,
    refusedReservations: 5,
  }), 'abc');
  metrics.server.listen(0, '127.0.0.1');
  await once(metrics.server, 'listening');
  t.after(() => {
    metrics.server.close();
    metrics.server.closeAllConnections();
  });
  metrics.observe({
    service: 'lots', decision: 'answered', ms: 250, attempts: [{ outcome: 'not-run 503' }, { outcome: 'answered 200' }],
  });
  metrics.observe({
    service: 'lots', decision: 'answered', ms: 250, attempts: [], relay: { outcome: 'answered 200' }, relayedBy: 'a',
  });
  metrics.observe({ decision: 'noRoute', ms: 0, attempts: [] });
  metrics.observe({
    service: 'hedged', decision: 'answered', ms: 250, attempts: [{ outcome: 'superseded' }, { outcome: 'answered 200' }], hedge: 'won',
  });
  const { port } = metrics.server.address() as AddressInfo;
  const text = await (await fetch(`http://127.0.0.1:${port}/metrics`)).text();
  [
    'guavayard_requests_total{service="lots",decision="answered"} 2',
    'guavayard_relayed_requests_total{service="lots",outcome="answered"} 1',
    'guavayard_served_for_entries_total{service="lots"} 1',
    'guavayard_hedges_total{service="hedged",outcome="won"} 1',
    'guavayard_attempts_total{service="hedged",outcome="superseded"} 1',
    'guavayard_unreachable_services 2',
    'guavayard_requests_total{service="none",decision="noRoute"} 1',
    'guavayard_attempts_total{service="lots",outcome="not-run"} 1',
    'guavayard_request_seconds_bucket{le="0.3",service="lots"} 2',
    'guavayard_waiting_requests 3',
    'guavayard_unwritten_probes_total 2',
    'guavayard_unanswered_probes_total 3',
    'guavayard_limited_targets 1',
    'guavayard_quota_asked_total 12',
    'guavayard_quota_admitted_total 7',
    'guavayard_quota_refused_total 5',
    'guavayard_quota_limited_tenants 1',
    'guavayard_sharing_entries 4',
    'guavayard_refused_retries_total 9',
    'guavayard_keys 5',
    'guavayard_refused_keys_total 11',
    'guavayard_unproven_keys_total 12',
    'guavayard_declaration_version 26',
    'guavayard_is_current 1',
    'guavayard_leader_silence_seconds 2.5',
    'guavayard_silent_members 1',
    'guavayard_pending_write_seconds 1.5',
    'guavayard_unbound_listeners 1',
    'guavayard_build_info{build="abc"} 1',
    'guavayard_shared_messages_version 2',
  ].forEach((line) => assert.ok(text.includes(line), line));
  assert.equal((await fetch(`http://127.0.0.1:${port}/other`)).status, 404);
});
