import assert from 'node:assert/strict';
import { test } from 'node:test';

import RunHistory from '../src/quarantine/RunHistory';

const LIMIT_MS = 300_000;

/** Records a run that started when the one before had ended, on the target `targetId`. */
function crash(history: RunHistory, targetId: string, atMs: number, fingerprint = 'a'): boolean {
  return history.recordCrash({
    fingerprint, targetId, startedAtMs: atMs - 1, brokenAtMs: atMs,
  }, atMs);
}

test('a request that was never answered is refused after its third crash', () => {
  const history = new RunHistory();
  const seen = [10, 20, 30].map((atMs) => {
    crash(history, `t-${atMs}`, atMs);
    return history.isQuarantined('a', atMs);
  });
  assert.deepEqual(seen, [false, false, true]);
});

// Guards against requests that one end of a target has refused, as it broke off several runs.
test('the runs that one end of a target broke off count as one crash', () => {
  const history = new RunHistory();
  const counted = [1, 2, 3, 4].map((startedAtMs) => history.recordCrash({
    fingerprint: 'a', targetId: 't', startedAtMs, brokenAtMs: 10,
  }, 20));
  assert.deepEqual([counted, history.count('a', 20)], [[true, false, false, false], 1]);
  assert.equal(crash(history, 't', 30), true);
  assert.equal(crash(history, 't', 40), true);
  assert.equal(history.isQuarantined('a', 40), true);
});

// Guards against requests that are refused at entries which see them answered.
test('an entry that has seen a request answered does not believe reports of crashes', () => {
  const history = new RunHistory();
  history.recordResponse('a', 1);
  for (let index = 0; index < 20; index += 1) history.recordReportedCrash('a', 2);
  history.recordKnownCrashes('a', 3, 2);
  assert.deepEqual([history.count('a', 2), history.isQuarantined('a', 2)], [0, false]);
  const forgottenAtMs = 1 + LIMIT_MS + 1;
  for (let index = 0; index < 3; index += 1) history.recordReportedCrash('a', forgottenAtMs);
  assert.equal(history.isQuarantined('a', forgottenAtMs), true);
});

// Guards against crashes that count although the request was answered after them.
test('a crash that is found out after a later response does not count', () => {
  const history = new RunHistory();
  const run = {
    fingerprint: 'a', targetId: 't', startedAtMs: 1, brokenAtMs: 10,
  };
  history.recordResponse('a', 15);
  assert.equal(history.recordCrash(run, 30), false);
  assert.equal(crash(history, 't', 40), true);
});

// Guards against a request that is refused after three ends in a row, though others are answered.
test('a request that was answered is not refused after three crashes, which are reported then', () => {
  const history = new RunHistory();
  history.recordResponse('a', 1);
  const seen = [10, 20, 30].map((atMs) => {
    crash(history, `t-${atMs}`, atMs);
    return [history.mustReport('a', atMs), history.isQuarantined('a', atMs)];
  });
  assert.deepEqual(seen, [[false, false], [false, false], [true, false]]);
  assert.equal(history.recordResponse('a', 40), true);
  assert.equal(history.count('a', 40), 0);
});

// Guards against entries that go on to refuse a request for crashes from before a response.
test('other VMs are told of one response after each report', () => {
  const history = new RunHistory();
  assert.equal(history.recordResponse('a', 1), false);
  history.recordReportedCrash('a', 2, 't');
  assert.deepEqual([3, 4].map((atMs) => history.recordResponse('a', atMs)), [true, false]);
  history.recordKnownCrashes('a', 3, 5);
  assert.deepEqual([6, 7].map((atMs) => history.recordResponse('a', atMs)), [true, false]);
  crash(history, 't', 10);
  assert.equal(history.recordResponse('a', 20), false);
});

test('a request that only crashes targets any more is refused, however often it was answered', () => {
  const history = new RunHistory();
  for (let atMs = 1; atMs <= 1000; atMs += 1) history.recordResponse('a', atMs);
  let crashes = 0;
  for (let atMs = 2000; !history.isQuarantined('a', atMs); atMs += 10) {
    crash(history, `t-${atMs}`, atMs);
    crashes += 1;
  }
  assert.equal(crashes, 9);
});

test('the requests that were answered least recently are forgotten above the size limit', () => {
  const history = new RunHistory();
  history.recordResponse('a', 1);
  history.recordResponse('b', 1);
  for (let index = 0; index < 4095; index += 1) history.recordResponse(`other-${index}`, 2);
  ['a', 'b'].forEach((fingerprint) => {
    for (let index = 0; index < 3; index += 1) history.recordReportedCrash(fingerprint, 3);
  });
  assert.deepEqual(['a', 'b'].map((fingerprint) => history.isQuarantined(fingerprint, 3)), [true, false]);
});

// Guards against one end of a target that counts once for each entry that had a request in flight.
test('an end of a target that several entries report counts as one crash', () => {
  const history = new RunHistory();
  assert.equal(crash(history, 't-1', 100), true);
  [200, 600, 1800].forEach((atMs) => history.recordReportedCrash('a', atMs, 't-1'));
  assert.equal(history.count('a', 1800), 1);
  [1900, 2000].forEach((atMs) => history.recordReportedCrash('a', atMs, 't-2'));
  assert.equal(history.count('a', 2000), 2);
  // A run of this entry on the same target, found out to be broken off later than the others.
  const run = {
    fingerprint: 'a', targetId: 't-2', startedAtMs: 1700, brokenAtMs: 1800,
  };
  assert.equal(history.recordCrash(run, 2100), false);
  // The first target has started and crashed again.
  history.recordReportedCrash('a', 2200, 't-1');
  assert.equal(history.isQuarantined('a', 2200), true);
});
