import assert from 'node:assert/strict';
import { test } from 'node:test';

import applyRegistryChange from '../src/registry/applyRegistryChange';
import createRegistryState from '../src/registry/createRegistryState';
import type RegistryChange from '../src/registry/RegistryChange';
import type RegistryState from '../src/registry/RegistryState';
import CountCollector from '../src/rollouts/CountCollector';
import decideRolloutOrder from '../src/rollouts/decideRolloutOrder';
import VersionGate from '../src/rollouts/VersionGate';

const START: RegistryChange = {
  kind: 'startRollout', service: 'lots', targetVersion: 'v2', durationMs: 12_000, canaryShare: 0.5, orderedAtMs: 5,
};
const STEP = { service: 'lots', number: 1 };
const SWITCH: RegistryChange = { kind: 'switchRollout', ...STEP, afterMs: 500 };
const COMPLETE: RegistryChange = { kind: 'completeRollout', ...STEP };
const ROLL_BACK: RegistryChange = { kind: 'rollBackRollout', ...STEP };

function announce(id: string, version?: string, bornAtMs = 1, sequence = 1): RegistryChange {
  return {
    kind: 'announce',
    target: {
      id, service: 'lots', address: `10.0.0.${id}:80`, dataCentre: 'a', slots: 2, state: 'ready', bornAtMs, sequence, coldLeftMs: 0, ...(version === undefined ? {} : { version }),
    },
  };
}

function createState(...changes: readonly RegistryChange[]): RegistryState {
  const state = createRegistryState();
  const service = {
    healthPath: '/', connectionLimit: 9, coldMs: 0, coldRequestsPerSecond: 1,
  };
  const limits = {
    maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
  };
  state.declaration = {
    version: 1, routes: {}, services: { lots: service, other: service }, limits, source: '',
  };
  changes.forEach((change) => applyRegistryChange(state, change));
  return state;
}

const BEFORE = [announce('1', 'v1'), announce('2', 'v2'), announce('3')];

test('the base versions are those registered at the order, other than the target version', () => {
  const { rollouts } = createState(...BEFORE, START);
  assert.deepEqual(rollouts?.lots?.baseVersions, ['', 'v1']);
});

// Guards against a service without any target, as a target tells its version after the order.
test('a target that served at the order may tell its version later', () => {
  const { rollouts } = createState(...BEFORE, START, announce('3', 'v0', 1, 2), announce('4', 'v9'));
  assert.deepEqual(rollouts?.lots?.baseVersions, ['', 'v0', 'v1']);
});

// Guards against replicas that end up in different phases, or a step of an earlier roll-out.
[
  { name: 'a completion before the switch', changes: [COMPLETE], phase: 'running' },
  { name: 'a switch', changes: [SWITCH], phase: 'switching' },
  { name: 'a completion', changes: [SWITCH, COMPLETE], phase: 'completed' },
  { name: 'a roll-back after the switch', changes: [SWITCH, ROLL_BACK], phase: 'rolledBack' },
  { name: 'a roll-back after the completion', changes: [SWITCH, COMPLETE, ROLL_BACK], phase: 'completed' },
  { name: 'a completion after the roll-back', changes: [SWITCH, ROLL_BACK, COMPLETE], phase: 'rolledBack' },
  { name: 'a second order', changes: [SWITCH, START], phase: 'switching' },
  { name: 'a step of another roll-out', changes: [{ ...ROLL_BACK, number: 2 }], phase: 'running' },
].forEach(({ name, changes, phase }) => {
  test(`the phase after ${name} is ${phase}`, () => {
    const state = createState(...BEFORE, START, ...changes as RegistryChange[]);
    assert.equal(state.rollouts?.lots?.phase, phase);
  });
});

// Guards against an accepted order that is refused, and against two roll-outs of a service at once.
[
  {
    name: 'a first order', changes: BEFORE, version: 'v2', expected: 'start',
  },
  {
    name: 'an order sent again', changes: [...BEFORE, START], version: 'v2', expected: 'accepted',
  },
  {
    name: 'another version under way', changes: [...BEFORE, START], version: 'v3', expected: 'rolloutInProgress',
  },
  {
    name: 'an order sent again after its completion', changes: [...BEFORE, START, SWITCH, COMPLETE], version: 'v2', expected: 'accepted',
  },
  {
    name: 'an order sent again after its roll-back', changes: [...BEFORE, START, ROLL_BACK], version: 'v2', expected: 'accepted',
  },
  {
    name: 'an order of the same version much later', changes: [...BEFORE, START, ROLL_BACK], version: 'v2', sinceMs: 60_000, expected: 'start',
  },
  {
    name: 'the next version', changes: [...BEFORE, START, SWITCH, COMPLETE], version: 'v3', expected: 'start',
  },
  {
    name: 'the version before', changes: [...BEFORE, START, SWITCH, COMPLETE], version: 'v1', expected: 'start',
  },
  {
    name: 'the only version in force', changes: [announce('1', 'v1')], version: 'v1', expected: 'rolloutRefused',
  },
  {
    name: 'an unknown service', changes: BEFORE, version: 'v2', service: 'none', expected: 'rolloutRefused',
  },
  {
    name: 'a service with the name of a property', changes: BEFORE, version: 'v2', service: 'toString', expected: 'rolloutRefused',
  },
].forEach(({
  name, changes, version, service = 'lots', sinceMs = 100, expected,
}) => {
  test(`the answer to ${name} is ${expected}`, () => {
    const order = { service, targetVersion: version };
    const decision = decideRolloutOrder(createState(...changes), order, sinceMs);
    assert.equal(decision.ok ? decision.val : decision.val.kind, expected);
  });
});

test('versions in force follow completions and roll-backs', () => {
  const next: RegistryChange = { ...START, targetVersion: 'v3' };
  const completed = createState(...BEFORE, START, SWITCH, COMPLETE, next);
  assert.deepEqual(completed.rollouts?.lots?.baseVersions, ['v2']);
  const rolledBack = createState(...BEFORE, START, ROLL_BACK, next);
  assert.deepEqual(rolledBack.rollouts?.lots?.baseVersions, ['', 'v1']);
  assert.equal(rolledBack.rollouts?.lots?.number, 2);
});

const NOTICE = {
  service: 'lots', number: 1, targetVersion: 'v2', baseVersions: ['v1'], canaryShare: 0.5, switchInMs: 0,
};
const TARGETS = ['v1', 'v2', 'v3', undefined].map((version) => ({ service: 'lots', version }));

// Guards against a request to a version that no order and no earlier state allows.
[
  { name: 'without a roll-out', phase: undefined, expected: ['v1', 'v2', 'v3', undefined] },
  { name: 'during the evaluation', phase: 'running', expected: ['v1'] },
  {
    name: 'of a chosen request', phase: 'running', isChosen: true, expected: ['v2'],
  },
  {
    name: 'of a chosen request without control', phase: 'running', isChosen: true, nowMs: 2501, expected: ['v1'],
  },
  {
    name: 'before the switch', phase: 'switching', switchInMs: 300, expected: ['v1'],
  },
  {
    name: 'after the switch', phase: 'switching', switchInMs: 300, nowMs: 300, expected: ['v2'],
  },
  {
    name: 'after the switch without control', phase: 'switching', nowMs: 2501, expected: ['v1'],
  },
  {
    name: 'after the completion', phase: 'completed', nowMs: 9000, expected: ['v2'],
  },
  {
    name: 'after a roll-back', phase: 'rolledBack', isChosen: true, expected: ['v1'],
  },
].forEach(({
  name, phase, isChosen = false, nowMs = 0, switchInMs = 0, expected,
}) => {
  test(`the versions that may get a request ${name}`, () => {
    const gate = new VersionGate(2500);
    gate.recordContact(0);
    gate.update(phase === undefined ? [] : [{ ...NOTICE, phase: phase as 'running', switchInMs }], 0);
    const allowed = gate.filter('lots', TARGETS, isChosen, nowMs, (target) => target);
    assert.deepEqual(allowed.map(({ version }) => version), expected);
    const others = gate.filter('other', TARGETS, isChosen, nowMs, (target) => target);
    assert.equal(others.length, TARGETS.length);
  });
});

// A version that is taken back after its switch was announced must not get all requests for good.
[{ name: 'before', nowMs: 100 }, { name: 'after', nowMs: 400 }].forEach(({ name, nowMs }) => {
  test(`a roll-back ${name} the moment of an announced switch goes back to base versions`, () => {
    const gate = new VersionGate(2500);
    gate.recordContact(0);
    gate.update([{ ...NOTICE, phase: 'running', switchInMs: 0 }], 0);
    gate.update([{ ...NOTICE, phase: 'switching', switchInMs: 300 }], 0);
    gate.update([{ ...NOTICE, phase: 'rolledBack', switchInMs: 0 }], nowMs);
    const allowed = gate.filter('lots', TARGETS, false, 1000, (target) => target);
    assert.deepEqual(allowed.map(({ version }) => version), ['v1']);
    assert.equal(gate.isWanted({ service: 'lots', version: 'v1' }, 1000), true);
  });
});

test('a chosen request without a target of the target version goes to the others, and another one is chosen', () => {
  const gate = new VersionGate(2500);
  gate.setPhase(0.5);
  gate.recordContact(0);
  gate.update([{ ...NOTICE, phase: 'running' }], 0);
  assert.equal(gate.choose('lots', 0), true);
  const [base] = TARGETS;
  assert.deepEqual(gate.filter('lots', [base], true, 0, (target) => target ?? { service: '' }), [base]);
  gate.giveBack('lots');
  assert.equal(gate.choose('lots', 0), true);
});

function createCounts(sequence: number, failed: number, startId = 's') {
  return {
    startId,
    service: 'lots',
    number: 1,
    sequence,
    requests: 10 * sequence,
    sent: sequence,
    baseInFlight: 0,
    hasSwitched: true,
    cells: [{
      route: 'r', dataCentre: 'a', isTargetVersion: true, failed, latencies: [0, sequence],
    }],
  };
}

// Guards against responses that count twice or not at all, as a message is lost, late or repeated.
test('counts of entries add up whatever becomes of single messages', () => {
  const collector = new CountCollector();
  collector.record('e', createCounts(1, 1), 0);
  collector.record('e', createCounts(3, 2), 0);
  collector.record('e', createCounts(2, 1), 0);
  collector.record('e', createCounts(3, 2), 0);
  const sum = collector.takeResponses().reduce((total, { failed }) => total + failed, 0);
  assert.equal(sum, 2);
  collector.record('e', createCounts(1, 4, 'restarted'), 0);
  assert.equal(collector.takeResponses()[0]?.failed, 4);
  assert.deepEqual(collector.traffic, { requests: 40, sent: 4 });
});

// Guards against a completion while an entry still has requests on base versions.
test('base versions are drained once all entries say so', () => {
  const collector = new CountCollector();
  assert.equal(collector.isDrained([], 0), false);
  collector.record('e', createCounts(1, 0), 0);
  assert.equal(collector.isDrained(['e'], 100), true);
  assert.equal(collector.isDrained(['e', 'f'], 100), false);
  collector.record('f', { ...createCounts(1, 0), baseInFlight: 1 }, 0);
  assert.equal(collector.isDrained(['e', 'f'], 100), false);
  assert.equal(collector.isDrained(['e'], 5000), false);
});
