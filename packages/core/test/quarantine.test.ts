import assert from 'node:assert/strict';
import { test } from 'node:test';

import CrashLedger from '../src/quarantine/CrashLedger';
import createFingerprint from '../src/quarantine/createFingerprint';

const REQUEST = {
  caller: '10.9.0.1', method: 'GET', host: 'lots.example', path: '/lots/1', bodyLength: undefined,
};

test('a request is refused from its third crash on', () => {
  const ledger = new CrashLedger();
  const seen = [1, 2, 3].map((nowMs) => {
    ledger.noteCrash('a', nowMs);
    return ledger.isQuarantined('a', nowMs);
  });
  assert.deepEqual(seen, [false, false, true]);
  assert.equal(ledger.isQuarantined('b', 3), false);
});

test('a request that was answered is not blamed for crashes beside it', () => {
  const ledger = new CrashLedger();
  ledger.noteCrash('a', 1);
  ledger.noteCrash('a', 2);
  ledger.noteAnswer('a');
  ledger.noteCrash('a', 3);
  assert.equal(ledger.isQuarantined('a', 3), false);
});

test('crashes are forgotten after a time, and the oldest beyond a bound', () => {
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
  test(`requests with another ${Object.keys(change).join()} have another fingerprint`, () => {
    assert.equal(createFingerprint(REQUEST), createFingerprint({ ...REQUEST }));
    assert.notEqual(createFingerprint(REQUEST), createFingerprint({ ...REQUEST, ...change }));
  });
});
