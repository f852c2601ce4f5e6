import assert from 'node:assert/strict';
import { test } from 'node:test';

import explainRequest from '../src/explainRequest';

const REJECTED_LINE = '{"vm":"entry-1","requestId":"r-1","route":"browse","service":"lots","version":6,"attempts":[],"decision":"overloaded","detail":"2 requests wait","status":503,"retryAfterMs":277,"ms":1,"msg":"request","time":"2026-10-09T06:58:55.541Z"}';
const LOST_RESPONSE_LINE = '{"vm":"entry-2","requestId":"r-2","route":"buy","service":"ledger","version":49,"attempts":[{"target":"t-1","load":0,"slowness":1,"loadAgeMs":0,"outcome":"spoiled ECONNABORTED","ms":321}],"decision":"targetFailed","detail":"spoiled","status":502,"ms":325,"msg":"request","time":"2026-10-09T06:59:12.605Z"}';
const UNROUTED_LINE = '{"vm":"entry-3","requestId":"r-3","attempts":[],"decision":"noRoute","detail":"version 62","status":404,"ms":0,"msg":"request","time":"2026-10-09T06:59:44.696Z"}';
const LINES = [UNROUTED_LINE, 'no JSON r-1', LOST_RESPONSE_LINE, `  2.7 entry-1 ${REJECTED_LINE}`, '{"requestId":"r-1"}'];

test('a request rejected under load is explained with its queue length', () => {
  assert.deepEqual(explainRequest(LINES, 'r-1'), [
    '2026-10-09T06:58:55.541Z entry-1: route browse, service lots, version 6',
    '  overloaded (2 requests wait): answered 503 after 1 ms, to come back after 277 ms',
  ]);
});

test('a lost response is explained with the target and its last load report', () => {
  assert.deepEqual(explainRequest(LINES, 'r-2').slice(1), [
    '  attempt 1: t-1 (told 0 requests and slowness 1 0 ms before): spoiled ECONNABORTED after 321 ms',
    '  targetFailed (spoiled): answered 502 after 325 ms',
  ]);
});

test('a request without a route is explained with the configuration version', () => {
  assert.deepEqual(explainRequest(LINES, 'r-3'), [
    '2026-10-09T06:59:44.696Z entry-3: no route',
    '  noRoute (version 62): answered 404 after 0 ms',
  ]);
});

test('a request that another entry served is followed over both', () => {
  const lines = [
    '{"vm":"entry-2","requestId":"r-4","route":"buy","service":"ledger","version":7,"attempts":[{"target":"t-1","load":0,"slowness":1,"loadAgeMs":2,"outcome":"answered 200","ms":210}],"relayedBy":"10.0.0.1","decision":"answered","status":200,"ms":214,"time":"2026-10-09T07:00:01.300Z"}',
    '{"vm":"entry-1","requestId":"r-4","route":"buy","service":"ledger","version":7,"attempts":[],"relay":{"entry":"10.0.0.2","outcome":"answered 200","ms":218},"decision":"answered","status":200,"ms":220,"time":"2026-10-09T07:00:01.301Z"}',
  ];
  assert.deepEqual(explainRequest(lines, 'r-4'), [
    '2026-10-09T07:00:01.300Z entry-2: route buy, service ledger, version 7, relayed by 10.0.0.1',
    '  attempt 1: t-1 (told 0 requests and slowness 1 2 ms before): answered 200 after 210 ms',
    '  answered: answered 200 after 214 ms',
    '2026-10-09T07:00:01.301Z entry-1: route buy, service ledger, version 7',
    '  other entry 10.0.0.2: answered 200 after 218 ms',
    '  answered: answered 200 after 220 ms',
  ]);
});

test('a hedged request is explained with both attempts', () => {
  const line = '{"vm":"entry-1","requestId":"r-5","route":"browse","service":"lots","version":6,"attempts":[{"target":"t-1","load":0,"slowness":1,"loadAgeMs":2,"outcome":"superseded","ms":260},{"target":"t-2","load":0,"slowness":1,"loadAgeMs":0,"isHedge":true,"outcome":"answered 200","ms":108}],"hedge":"won","decision":"answered","status":200,"ms":262,"time":"2026-10-09T07:00:01.300Z"}';
  assert.deepEqual(explainRequest([line], 'r-5').slice(1), [
    '  attempt 1: t-1 (told 0 requests and slowness 1 2 ms before): superseded after 260 ms',
    '  attempt 2: t-2 (a hedge, told 0 requests and slowness 1 0 ms before): answered 200 after 108 ms',
    '  hedge: won',
    '  answered: answered 200 after 262 ms',
  ]);
});

test('a request over a quota is explained with the quota and the version', () => {
  const line = '{"vm":"entry-1","requestId":"r-5","route":"browse","service":"lots","version":6,"retryAfterMs":1250,"attempts":[],"decision":"quotaExceeded","detail":"tenant acme: 10/s, burst 5, version 6; share 0.160","status":429,"ms":0,"msg":"request","time":"2026-10-09T06:58:55.541Z"}';
  assert.deepEqual(explainRequest([line], 'r-5'), [
    '2026-10-09T06:58:55.541Z entry-1: route browse, service lots, version 6',
    '  quotaExceeded (tenant acme: 10/s, burst 5, version 6; share 0.160): answered 429 after 0 ms, to come back after 1250 ms',
  ]);
});

test('an unknown request id gives no lines', () => {
  assert.deepEqual(explainRequest(LINES, 'r-9'), []);
});

test('an attempt that waited for a connection is explained with the time', () => {
  const line = '{"vm":"entry-1","requestId":"r-6","attempts":[{"target":"t-1","load":0,"slowness":1,"loadAgeMs":2,"connectionMs":310,"outcome":"answered 200","ms":330}],"decision":"answered","status":200,"ms":332,"time":"2026-10-09T07:00:01.300Z"}';
  assert.deepEqual(explainRequest([line], 'r-6').slice(1), [
    '  attempt 1: t-1 (told 0 requests and slowness 1 2 ms before, 310 ms until a connection took it): answered 200 after 330 ms',
    '  answered: answered 200 after 332 ms',
  ]);
});
