import assert from 'node:assert/strict';
import { test } from 'node:test';

import decideRolloutStep from '../src/rollouts/decideRolloutStep';
import findEntryPhase from '../src/rollouts/findEntryPhase';
import findSwitchTime from '../src/rollouts/findSwitchTime';
import planRollout from '../src/rollouts/planRollout';
import VersionGate from '../src/rollouts/VersionGate';
import createRandom from '../src/utils/createRandom';

const MAX_SHARE = 0.1;
const ENTRIES = 132;
const STEP_MS = 10;

const NOTICE = {
  service: 'lots', number: 1, targetVersion: 'v2', baseVersions: ['v1'], phase: 'running' as const, canaryShare: 0.03, switchInMs: 0,
};

/** Plays all entries over a roll-out that is not taken back. */
function playExposure(durationMs: number, requestsPerSecond: number, seed: number): number {
  const random = createRandom(seed);
  const plan = planRollout(durationMs, MAX_SHARE);
  const names = Array.from({ length: ENTRIES }, (_, index) => `10.0.${index}.1`);
  const gates = names.map((name) => {
    const gate = new VersionGate(Infinity);
    gate.setPhase(findEntryPhase(names, name));
    gate.recordContact(0);
    gate.update([{ ...NOTICE, canaryShare: plan.canaryShare }], 0);
    return gate;
  });
  let requests = 0;
  let sent = 0;
  let switchAtMs = Infinity;
  for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
    if (switchAtMs === Infinity && nowMs >= plan.decideAtMs) {
      const step = decideRolloutStep({
        rollout: { durationMs, phase: 'running' }, maxShare: MAX_SHARE, elapsedMs: nowMs, isBad: false, isGood: true, traffic: { requests, sent }, isDrained: false,
      });
      if (step?.kind === 'switch') switchAtMs = nowMs + step.afterMs;
    }
    const due = requestsPerSecond * (STEP_MS / 1000);
    const count = Math.floor(due) + Number(random() < due % 1);
    for (let index = 0; index < count; index += 1) {
      const gate = gates[Math.floor(random() * ENTRIES)];
      requests += 1;
      const isSent = gate?.choose('lots', nowMs) === true;
      if (isSent || nowMs >= switchAtMs) sent += 1;
    }
  }
  return sent / requests;
}

// Guards against a bad version that no one notices and that gets more than its share.
[303, 254, 31].forEach((requestsPerSecond) => {
  [12_000, 14_000, 16_000].forEach((durationMs) => {
    test(`${requestsPerSecond} requests per second over ${durationMs} ms stay within the share`, () => {
      for (let seed = 1; seed <= 5; seed += 1) {
        const share = playExposure(durationMs, requestsPerSecond, seed);
        assert.ok(share <= MAX_SHARE, `seed ${seed}: ${share}`);
        assert.ok(share > MAX_SHARE * 0.7, `seed ${seed}: ${share} leaves too much unused`);
      }
    });
  });
});

test('the switch comes later after more requests to the target version than planned', () => {
  const planned = findSwitchTime(12_000, MAX_SHARE, 10_000, { requests: 2500, sent: 70 });
  const late = findSwitchTime(12_000, MAX_SHARE, 10_000, { requests: 2500, sent: 140 });
  assert.ok(late > planned);
  assert.equal(findSwitchTime(12_000, MAX_SHARE, 10_000, { requests: 2500, sent: 900 }), 11_500);
});

// Guards against steps out of turn, and against a good version that misses its deadline.
[
  {
    name: 'a bad version', elapsedMs: 100, isBad: true, isGood: false, kind: 'rollBack',
  },
  {
    name: 'a bad version after the switch', phase: 'switching', elapsedMs: 11_500, isBad: true, isGood: false, kind: 'rollBack',
  },
  { name: 'a good version early', elapsedMs: 5000, kind: undefined },
  { name: 'a good version when it is time', elapsedMs: 10_900, kind: 'switch' },
  {
    name: 'a doubted version when it is time', elapsedMs: 10_900, isGood: false, kind: undefined,
  },
  {
    name: 'a doubted version at the deadline', elapsedMs: 12_000, isGood: false, kind: 'rollBack',
  },
  { name: 'a version that was not judged at the deadline, by a new leader', elapsedMs: 13_000, kind: 'rollBack' },
  {
    name: 'requests on base versions', phase: 'switching', elapsedMs: 11_500, kind: undefined,
  },
  {
    name: 'none on base versions', phase: 'switching', elapsedMs: 11_500, isDrained: true, kind: 'complete',
  },
  {
    name: 'requests on base versions shortly before the deadline', phase: 'switching', elapsedMs: 11_800, kind: 'complete',
  },
  {
    name: 'a new leader after the deadline', phase: 'switching', elapsedMs: 19_000, kind: 'complete',
  },
].forEach(({
  name, phase = 'running', elapsedMs, isBad = false, isGood = true, isDrained = false, kind,
}) => {
  test(`the step of a roll-out: ${name}`, () => {
    const step = decideRolloutStep({
      rollout: { durationMs: 12_000, phase: phase as 'running' | 'switching' }, maxShare: MAX_SHARE, elapsedMs, isBad, isGood, traffic: { requests: 0, sent: 0 }, isDrained,
    });
    assert.equal(step?.kind, kind);
  });
});
