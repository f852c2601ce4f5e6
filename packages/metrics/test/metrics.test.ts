import assert from 'node:assert/strict';
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { test } from 'node:test';

import invariantTable from '@guavayard/core/invariants/invariantTable';
import type RequestRecord from '@guavayard/core/objectives/RequestRecord';
import type VmStatus from '@guavayard/core/types/VmStatus';

import metricTable from '../src/metricTable';
import type MetricSink from '../src/MetricSink';
import RequestMetrics from '../src/RequestMetrics';
import sendStatusMetrics from '../src/sendStatusMetrics';
import StatsdSink from '../src/StatsdSink';

const RECORD: RequestRecord = {
  requestId: 'secret-id',
  startedAtMs: 0,
  serviceName: 'listing',
  homeRegions: undefined,
  targetDataCentre: 'munster-1',
  failure: undefined,
  isRelayed: false,
};

const STATUS: VmStatus = {
  vm: 'vm-1',
  region: 'munster',
  dataCentre: 'munster-1',
  roles: ['entry'],
  program: '0.1.0',
  uptimeMs: 1000,
  memoryBytes: 1,
  version: 7,
  entry: {
    hasLease: true,
    isReady: true,
    targets: { cold: 1, ready: 2, draining: 3 },
    ownedTargets: 4,
    invariants: {
      dispatchWithoutLease: 0,
      dispatchToDataCentreOut: 0,
      coldLimitExceeded: 0,
      outsideHomeRegions: 0,
      repeatedRun: 0,
    },
    measuring: { probes: 10, usedShare: 0.005, budgetShare: 0.01 },
  },
};

function collect(): { sink: MetricSink; lines: string[] } {
  const lines: string[] = [];
  const sink: MetricSink = {
    send: (name, value, tags) => {
      assert.deepEqual(Object.keys(tags), metricTable[name].tags, name);
      lines.push([name, value, ...Object.values(tags)].join(' '));
    },
    close: async () => {},
  };
  return { sink, lines };
}

test('requests are counted by service, cause and data centre, and each count is sent once', () => {
  const metrics = new RequestMetrics(() => 10, 'munster', () => undefined);
  metrics.record(RECORD, 200, true);
  metrics.record(RECORD, 200, true);
  metrics.record({ ...RECORD, failure: 'targetFailed' }, 502, true);
  const { sink, lines } = collect();
  metrics.sendTo(sink);
  metrics.sendTo(sink);
  assert.deepEqual(lines, [
    'requests 2 listing good',
    'requests 1 listing unavailable',
    'burns 1 listing targetFailed munster-1',
  ]);
});

test('a request restricted to other regions is not counted', () => {
  const metrics = new RequestMetrics(() => 10, 'munster', () => undefined);
  metrics.record({ ...RECORD, homeRegions: ['leinster'], failure: 'noTarget' }, 503, true);
  const { sink, lines } = collect();
  metrics.sendTo(sink);
  assert.deepEqual(lines, []);
});

test('the status and the counters of a VM cover every metric in the table', () => {
  const { sink, lines } = collect();
  sendStatusMetrics(STATUS, sink);
  const sent = new Set([...lines.map((line) => line.split(' ')[0]), 'requests', 'burns']);
  assert.deepEqual(sent, new Set(Object.keys(metricTable)));
  assert.equal(lines.filter((line) => line.startsWith('invariant_breaches 0')).length, Object.keys(invariantTable).length);
});

test('names, values and tags are sent to statsd in one datagram', async (t) => {
  const server = createSocket('udp4');
  t.after(() => server.close());
  server.bind(0, '127.0.0.1');
  await once(server, 'listening');
  const received = once(server, 'message') as Promise<[Buffer]>;
  const sink = new StatsdSink(`127.0.0.1:${server.address().port}`, { vm: 'vm-1' }, (err) => assert.fail(err));
  sink.send('requests', 3, { service: 'listing', result: 'good' });
  sink.send('has_lease', 1, {});
  await sink.close();
  const [message] = await received;
  assert.deepEqual(message.toString().trim().split('\n'), [
    'guavayard.requests:3|c|#vm:vm-1,service:listing,result:good',
    'guavayard.has_lease:1|g|#vm:vm-1',
  ]);
});
