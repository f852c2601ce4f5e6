import assert from 'node:assert/strict';
import { test } from 'node:test';

import CrashLedger from '../src/quarantine/CrashLedger';
import createFingerprint from '../src/quarantine/createFingerprint';

const REQUEST = {
  caller: '10.9.0.1', method: 'GET', host: 'lots.example', path: '/lots/1', bodyLength: undefined,
};

test('a request is quarantined after its third crash', () => {
  const ledger = new CrashLedger();
  const seen = [1, 2, 3].map((nowMs) => {
    ledger.noteCrash('a', nowMs);
    return ledger.isQuarantined('a', nowMs);
  });
  assert.deepEqual(seen, [false, false, true]);
  assert.equal(ledger.isQuarantined('b', 3), false);
});

test('a response clears a request of earlier crashes', () => {
  const ledger = new CrashLedger();
  ledger.noteCrash('a', 1);
  ledger.noteCrash('a', 2);
  ledger.noteAnswer('a');
  ledger.noteCrash('a', 3);
  assert.equal(ledger.isQuarantined('a', 3), false);
});

test('crashes expire, and the oldest are evicted above the size limit', () => {
  const ledger = new CrashLedger();
  [1, 2, 3].forEach((nowMs) => ledger.noteCrash('a', nowMs));
  assert.equal(ledger.isQuarantined('a', 300_003), true);
  assert.equal(ledger.isQuarantined('a', 300_004), false);
  assert.equal(ledger.isEmpty, true);
  [1, 2, 3].forEach((nowMs) => ledger.noteCrash('a', nowMs));
  for (let index = 0; index < 1024; index += 1) ledger.noteCrash(`other-${index}`, 4);
  assert.equal(ledger.isQuarantined('a', 4), false);
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
