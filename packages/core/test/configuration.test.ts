import assert from 'node:assert/strict';
import { test } from 'node:test';

import applyPatch from '../src/configuration/applyPatch';
import type Failure from '../src/errors/Failure';
import findCandidates from '../src/routing/findCandidates';
import matchRoute from '../src/routing/matchRoute';
import Configuration from '../src/types/Configuration';
import type KnownTarget from '../src/types/KnownTarget';

const CONFIGURATION = Configuration.parse({
  services: { listing: {}, ledger: {} },
  dataCentres: {
    'munster-1': { region: 'munster', state: 'in' },
    'munster-2': { region: 'munster', state: 'out' },
    'leinster-1': { region: 'leinster', state: 'in' },
  },
  routes: {
    all: { pathPrefix: '/', service: 'listing' },
    ledger: { pathPrefix: '/ledger', service: 'ledger', homeRegions: ['munster', 'leinster'] },
  },
  tenants: { brokers: { homeRegions: ['leinster'] } },
});

function createTarget(id: string, dataCentre: string, state: 'ready' | 'draining'): KnownTarget {
  return {
    id,
    service: 'ledger',
    dataCentre,
    address: '127.0.0.1:1',
    slots: 2,
    connectionLimit: 260,
    startId: 'start',
    state,
    timeToLiveMs: 1000,
    owner: undefined,
  };
}

test('a patch against another version is a version conflict', () => {
  const result = applyPatch(
    { version: 3, configuration: CONFIGURATION },
    { id: 'a', base: 2, operations: [] },
  );
  assert.deepEqual(result.val, { kind: 'versionConflict', detail: 'base 2, current 3' });
});

test('an invalid patch is rejected with its pointer and leaves the document unchanged', () => {
  const current = { version: 3, configuration: CONFIGURATION };
  const before = structuredClone(current);
  const result = applyPatch(current, {
    id: 'a',
    base: 3,
    operations: [
      { op: 'remove', path: '/routes/all' },
      { op: 'replace', path: '/routes/ledger/service', value: 'none' },
    ],
  });
  assert.equal((result.val as Failure).detail, '/routes/ledger/service: no service "none"');
  assert.deepEqual(current, before);
});

test('the longest path prefix wins, matched at segment boundaries only', () => {
  const find = (path: string): string => (
    matchRoute(CONFIGURATION, path, undefined).unwrap().routeName
  );
  assert.equal(find('/ledger/holds'), 'ledger');
  assert.equal(find('/ledger?x=1'), 'ledger');
  assert.equal(find('/ledgers'), 'all');
});

test('home regions of route and tenant are intersected', () => {
  const match = matchRoute(CONFIGURATION, '/ledger', 'brokers').unwrap();
  assert.deepEqual(match.homeRegions, ['leinster']);
});

test('candidates exclude draining targets, data centres that are out and other regions', () => {
  const targets = [
    createTarget('a', 'munster-1', 'ready'),
    createTarget('b', 'munster-1', 'draining'),
    createTarget('c', 'munster-2', 'ready'),
    createTarget('d', 'leinster-1', 'ready'),
    createTarget('e', 'unknown', 'ready'),
  ];
  const from = { region: 'munster', dataCentre: 'munster-1' };
  const everywhere = matchRoute(CONFIGURATION, '/ledger', undefined).unwrap();
  const inHomeRegions = matchRoute(CONFIGURATION, '/ledger', 'brokers').unwrap();
  const ids = (match: typeof inHomeRegions): string[] => (
    findCandidates(CONFIGURATION, targets, match, from).map((candidate) => candidate.target.id)
  );
  assert.deepEqual(ids(everywhere), ['a', 'd']);
  assert.deepEqual(ids(inHomeRegions), ['d']);
});
