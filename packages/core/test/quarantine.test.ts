import assert from 'node:assert/strict';
import { test } from 'node:test';

import CrashHistory from '../src/quarantine/CrashHistory';
import createFingerprint from '../src/quarantine/createFingerprint';

const REQUEST = {
  caller: '10.9.0.1', method: 'GET', host: 'lots.example', path: '/lots/1', bodyLength: undefined,
};

test('a request is quarantined after its third crash', () => {
  const history = new CrashHistory();
  const seen = [1, 2, 3].map((nowMs) => {
    history.recordCrash('a', nowMs);
    return history.isQuarantined('a', nowMs);
  });
  assert.deepEqual(seen, [false, false, true]);
  assert.equal(history.isQuarantined('b', 3), false);
});

test('a response clears a request of earlier crashes', () => {
  const history = new CrashHistory();
  history.recordCrash('a', 1);
  history.recordCrash('a', 2);
  history.recordResponse('a');
  history.recordCrash('a', 3);
  assert.equal(history.isQuarantined('a', 3), false);
});

test('crashes that another VM knows of are not added to those that are recorded', () => {
  const history = new CrashHistory();
  history.recordCrash('a', 1);
  history.recordKnownCrashes('a', 2, 2);
  assert.deepEqual(history.list(2), [{ fingerprint: 'a', count: 2 }]);
  history.recordKnownCrashes('a', 2, 3);
  assert.equal(history.isQuarantined('a', 3), false);
  history.recordKnownCrashes('a', 3, 4);
  assert.equal(history.isQuarantined('a', 4), true);
  assert.equal(history.isQuarantined('a', 300_005), false);
});

test('crashes that another VM knows of do not undo a response', () => {
  const history = new CrashHistory();
  history.recordCrash('a', 1);
  history.recordResponse('a');
  history.recordKnownCrashes('a', 3, 2);
  assert.deepEqual([history.isQuarantined('a', 2), history.list(2)], [false, []]);
});

// Guards against requests that are refused as an entry follows control again.
test('crashes before a response do not count again after a further crash', () => {
  const history = new CrashHistory();
  history.recordCrash('a', 1);
  history.recordCrash('a', 2);
  history.recordResponse('a');
  history.recordCrash('a', 3);
  history.recordKnownCrashes('a', 3, 4);
  assert.deepEqual(history.list(4), [{ fingerprint: 'a', count: 1 }]);
  history.recordCrash('a', 5);
  history.recordCrash('a', 6);
  assert.equal(history.isQuarantined('a', 6), true);
});

test('crashes expire, and the oldest are evicted above the size limit', () => {
  const history = new CrashHistory();
  [1, 2, 3].forEach((nowMs) => history.recordCrash('a', nowMs));
  assert.equal(history.isQuarantined('a', 300_003), true);
  assert.equal(history.isQuarantined('a', 300_004), false);
  assert.equal(history.isEmpty, true);
  [1, 2, 3].forEach((nowMs) => history.recordCrash('a', nowMs));
  for (let index = 0; index < 1024; index += 1) history.recordCrash(`other-${index}`, 4);
  assert.equal(history.isQuarantined('a', 4), false);
});

const changes = [
  { caller: '10.9.0.2' },
  { method: 'POST' },
  { host: 'holds.example' },
  { path: '/lots/2' },
  { bodyLength: '7' },
];

changes.forEach((change) => {
  test(`requests with a different ${Object.keys(change).join()} have different fingerprints`, () => {
    assert.equal(createFingerprint(REQUEST), createFingerprint({ ...REQUEST }));
    assert.notEqual(createFingerprint(REQUEST), createFingerprint({ ...REQUEST, ...change }));
  });
});
