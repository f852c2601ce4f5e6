import assert from 'node:assert/strict';
import { test } from 'node:test';

import createConsensusRecords from '../src/consensus/createConsensusRecords';
import createDurableState from '../src/consensus/createDurableState';
import type LogEntry from '../src/consensus/LogEntry';
import replayRecords from '../src/consensus/replayRecords';
import applyRegistryChange from '../src/registry/applyRegistryChange';
import createRegistryState from '../src/registry/createRegistryState';
import type Declaration from '../src/registry/Declaration';
import type DeclaredRoute from '../src/registry/DeclaredRoute';
import findDeclarationMistakes from '../src/registry/findDeclarationMistakes';
import isRedundantAnnouncement from '../src/registry/isRedundantAnnouncement';
import type RegisteredTarget from '../src/registry/RegisteredTarget';
import type RegistryState from '../src/registry/RegistryState';
import createName from '../src/utils/createName';

const ROUTE: DeclaredRoute = {
  host: 'shop.example',
  pathPrefix: '/lots/',
  isIdempotent: true,
  timeoutMs: 2000,
  targetLatencyMs: 600,
  priority: 1,
  maxAttempts: 2,
  backends: [{ service: 'lots', weight: 1 }],
};

const SERVICE = {
  healthPath: '/health', connectionLimit: 100, coldMs: 3000, coldRequestsPerSecond: 2,
};

function declare(version: number, routes: Declaration['routes'] = { lots: ROUTE }): Declaration {
  return {
    version,
    routes,
    services: { lots: SERVICE },
    limits: {
      maxHeaderBytes: 16384, maxBodyBytes: 1e6, headerTimeoutMs: 3000, idleTimeoutMs: 15000,
    },
    source: `version ${version}`,
  };
}

function target(change: Partial<RegisteredTarget> = {}): RegisteredTarget {
  return {
    id: 't-1',
    service: 'lots',
    address: '10.0.0.1:80',
    dataCentre: 'cork',
    slots: 2,
    state: 'ready',
    bornAtMs: 1000,
    sequence: 1,
    coldLeftMs: 0,
    ...change,
  };
}

function announce(state: RegistryState, change: Partial<RegisteredTarget> = {}): void {
  applyRegistryChange(state, { kind: 'announce', target: target(change) });
}

test('the highest declaration version is in force regardless of the order of arrival', () => {
  [[1, 2, 3], [3, 2, 1], [2, 3, 1, 3]].forEach((versions) => {
    const state = createRegistryState();
    versions.forEach((version) => applyRegistryChange(state, { kind: 'declare', declaration: declare(version) }));
    assert.equal(state.declaration?.version, 3);
  });
});

test('a declaration with different content under the version in force is ignored', () => {
  const state = createRegistryState();
  applyRegistryChange(state, { kind: 'declare', declaration: declare(3) });
  applyRegistryChange(state, { kind: 'declare', declaration: { ...declare(3), source: 'other' } });
  assert.equal(state.declaration?.source, 'version 3');
});

test('an evacuation lasts until the data centre is restored', () => {
  const state = createRegistryState();
  ['evacuate', 'evacuate', 'restore'].forEach((kind) => {
    applyRegistryChange(state, { kind: kind as 'evacuate' | 'restore', dataCentre: 'cork' });
  });
  assert.deepEqual(state.evacuated, []);
});

test('a stale announcement is ignored', () => {
  const cases: [string, (state: RegistryState) => void][] = [
    ['of a withdrawn incarnation', (state) => {
      announce(state);
      applyRegistryChange(state, { kind: 'withdraw', targetId: 't-1' });
      announce(state, { sequence: 9 });
      assert.deepEqual(Object.keys(state.targets), []);
    }],
    ['sent before the target started to drain', (state) => {
      announce(state, { state: 'draining', sequence: 5 });
      announce(state, { sequence: 4 });
      assert.equal(state.targets['t-1']?.state, 'draining');
    }],
    ['of an earlier incarnation of the same id', (state) => {
      announce(state, { bornAtMs: 2000 });
      announce(state, { bornAtMs: 1000, sequence: 99, state: 'draining' });
      assert.equal(state.targets['t-1']?.bornAtMs, 2000);
    }],
    ['of a target whose address belongs to a later one', (state) => {
      announce(state, { id: 't-2', bornAtMs: 2000 });
      announce(state, { bornAtMs: 1000 });
      assert.deepEqual(Object.keys(state.targets), ['t-2']);
    }],
  ];
  cases.forEach(([, run]) => run(createRegistryState()));
});

test('a later incarnation at an address ends the previous one', () => {
  const state = createRegistryState();
  announce(state);
  announce(state, { id: 't-2', service: 'ledger', bornAtMs: 2000 });
  assert.deepEqual(Object.keys(state.targets), ['t-2']);
  announce(state, { sequence: 2 });
  assert.deepEqual(Object.keys(state.targets), ['t-2']);
});

test('an expiry does not remove a target that has announced itself since', () => {
  const state = createRegistryState();
  announce(state, { sequence: 7 });
  applyRegistryChange(state, {
    kind: 'expire', targetId: 't-1', bornAtMs: 1000, sequence: 6,
  });
  assert.deepEqual(Object.keys(state.targets), ['t-1']);
});

test('an expired target is registered again by its next announcement', () => {
  const state = createRegistryState();
  announce(state);
  applyRegistryChange(state, {
    kind: 'expire', targetId: 't-1', bornAtMs: 1000, sequence: 1,
  });
  assert.deepEqual(Object.keys(state.targets), []);
  announce(state, { sequence: 2 });
  assert.deepEqual(Object.keys(state.targets), ['t-1']);
});

test('only an update of a target needs an entry in the log', () => {
  const state = createRegistryState();
  announce(state);
  assert.equal(isRedundantAnnouncement(state, target({ sequence: 2 }), 0), true);
  const updates: Partial<RegisteredTarget>[] = [
    { state: 'draining' }, { coldLeftMs: 2500 }, { bornAtMs: 5000 }, { slots: 3 }, { id: 't-9' },
  ];
  updates.forEach((change) => {
    assert.equal(isRedundantAnnouncement(state, target(change), 0), false, JSON.stringify(change));
  });
});

test('an invalid declaration is described by its error', () => {
  const cases: [RegExp, Partial<DeclaredRoute>][] = [
    [/no service/, { backends: [{ service: 'none', weight: 1 }] }],
    [/weights/, { backends: [{ service: 'lots', weight: 0 }] }],
    [/weights/, { backends: [] }],
    [/timeout/, { timeoutMs: 600_001 }],
    [/timeout/, { timeoutMs: 0 }],
    [/attempt/, { maxAttempts: 0 }],
    [/prefix/, { pathPrefix: 'lots/' }],
    [/host/, { host: '' }],
  ];
  assert.deepEqual(findDeclarationMistakes(declare(1)), []);
  cases.forEach(([pattern, change]) => {
    const [error = ''] = findDeclarationMistakes(declare(1, { lots: { ...ROUTE, ...change } }));
    assert.match(error, pattern);
  });
});

test('two routes with the same host and path prefix are an error', () => {
  const errors = findDeclarationMistakes(declare(1, { a: ROUTE, b: ROUTE }));
  assert.match(errors.join(), /same host/);
});

test('a log in which an older build wrote a name as it was is read', () => {
  const [snapshot] = createConsensusRecords(createDurableState(['a#0']));
  const change = { kind: 'evacuate', dataCentre: 'TN-ANPING' };
  const entry = { index: 1, term: 1, command: { kind: 'registry', change } };
  const { log } = replayRecords([snapshot, { kind: 'append', entries: [entry] }]).unwrap();
  const { command } = log[0] as LogEntry;
  const name = command.kind === 'registry' && command.change.kind === 'evacuate' && command.change.dataCentre;
  assert.equal(name, createName('TN-ANPING'));
});

// Guards against names that every object has as a property: such a route was acknowledged.
test('a route to a service that is not declared is a mistake, whatever its name', () => {
  ['constructor', 'toString', 'hasOwnProperty'].forEach((service) => {
    const declaration = declare(1, { lots: { ...ROUTE, backends: [{ service, weight: 1 }] } });
    assert.equal(findDeclarationMistakes(declaration).length, 1);
  });
});
