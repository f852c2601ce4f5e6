import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import type FakeResponse from './support/FakeResponse';
import GatewayRig from './support/GatewayRig';

const RUN_MS = 1000;

function createRig(t: TestContext, options = {}): GatewayRig {
  const rig = new GatewayRig(t, options);
  Array.from({ length: 8 }, (_, index) => rig.addTarget(`t${index}`));
  return rig;
}

/** Ends the target that ran the last request of the rig, beside those in flight on it. */
function endLastTarget(rig: GatewayRig): void {
  Object.assign(rig.sender.sent.at(-1)?.target ?? {}, { mode: 'crashes' });
}

function statuses(responses: readonly FakeResponse[]): (number | undefined)[] {
  return responses.map(({ status }) => status);
}

// Guards against requests that are refused at an entry which sees them answered.
['reports of other entries', 'what control knows'].forEach((source) => {
  test(`a request that is answered is not refused for ${source}`, (t) => {
    const rig = createRig(t, { isIdempotent: false });
    rig.request();
    rig.run(50);
    endLastTarget(rig);
    rig.run(RUN_MS);
    const [fingerprint = ''] = rig.reports;
    assert.notEqual(fingerprint, '');
    const first = rig.request();
    rig.run(RUN_MS);
    if (source === 'what control knows') rig.crashes.recordKnownCrashes(fingerprint, 3);
    else for (let count = 0; count < 8; count += 1) rig.crashes.recordReportedCrash(fingerprint);
    const second = rig.request();
    rig.run(RUN_MS);
    assert.deepEqual(statuses([first, second]), [200, 200]);
  });
});

// Guards against one end of a target that counts once for each request in flight.
test('an end of a target under several requests is reported once', (t) => {
  const rig = new GatewayRig(t, { isIdempotent: false });
  rig.addTarget('t0', { slots: 8 });
  rig.addTarget('t1', { slots: 8, slowness: 4 });
  rig.addTarget('t2', { slots: 8, slowness: 4 });
  for (let count = 0; count < 4; count += 1) rig.request();
  rig.run(50);
  const [{ target } = {}] = rig.sender.sent;
  const onTarget = rig.sender.sent.filter((sent) => sent.target === target).length;
  assert.ok(onTarget >= 3, `${onTarget} requests`);
  Object.assign(target ?? {}, { mode: 'crashes' });
  rig.run(RUN_MS);
  assert.equal(rig.reports.length, 1);
});

// Guards against reports of crashes under requests that another target then answers.
test('a crash under a request that another target answers is not reported', (t) => {
  const rig = createRig(t);
  const res = rig.request();
  rig.run(50);
  endLastTarget(rig);
  rig.run(RUN_MS);
  assert.deepEqual([res.status, rig.sender.sent.length, rig.reports], [200, 2, []]);
});

// Guards against reports that come late because the request waits for another target.
test('a crash under a request that is not over is reported as soon as it is found out', (t) => {
  const rig = createRig(t);
  rig.request();
  rig.run(50);
  endLastTarget(rig);
  const { target } = rig.sender.sent.at(-1) ?? {};
  rig.targets.filter((each) => each !== target)
    .forEach((each) => Object.assign(each, { workMs: 1800 }));
  rig.run(700);
  assert.deepEqual([rig.sender.sent.length, rig.reports.length], [2, 1]);
});

// Guards against entries that go on to refuse a request for reports from before it was answered.
test('other entries are told once that a request was answered after a crash', (t) => {
  const rig = createRig(t, { isIdempotent: false });
  rig.request();
  rig.run(50);
  endLastTarget(rig);
  rig.run(RUN_MS);
  const [fingerprint = ''] = rig.reports;
  assert.deepEqual(rig.answered, []);
  rig.request();
  rig.request();
  rig.run(RUN_MS);
  assert.deepEqual(rig.answered, [fingerprint]);
  rig.crashes.recordReportedCrash(fingerprint);
  rig.crashes.recordKnownCrashes(fingerprint, 3);
  assert.deepEqual(rig.answered, [fingerprint]);
  rig.request();
  rig.run(RUN_MS);
  assert.deepEqual(rig.answered, [fingerprint, fingerprint]);
});

test('a request that was answered at another entry is served again', (t) => {
  const rig = createRig(t, { isIdempotent: false });
  rig.request();
  rig.run(50);
  endLastTarget(rig);
  rig.run(RUN_MS);
  const [fingerprint = ''] = rig.reports;
  for (let count = 0; count < 3; count += 1) rig.crashes.recordReportedCrash(fingerprint);
  const refused = rig.request();
  rig.run(RUN_MS);
  rig.crashes.recordReportedAnswer(fingerprint);
  const served = rig.request();
  rig.run(RUN_MS);
  assert.deepEqual(statuses([refused, served]), [503, 200]);
});
