import assert from 'node:assert/strict';
import { test } from 'node:test';

import applyTenant from '@guavayard/core/tenants/applyTenant';
import type DeclaredTenant from '@guavayard/core/tenants/DeclaredTenant';
import hashKey from '@guavayard/core/tenants/hashKey';

import GatewayRig from './support/GatewayRig';

const KEY = { key: 'k-1' };

function createTenant(
  label: string,
  key: string,
  change: Partial<DeclaredTenant> = {},
): DeclaredTenant {
  return {
    name: label, label, keyHashes: [hashKey(key)], ratePerSecond: 0, burst: 0, ...change,
  };
}

const ACME = createTenant('acme', 'k-1');

test('a request runs with the key of a tenant, and its target gets the name of the tenant', (t) => {
  const rig = new GatewayRig(t);
  rig.tenants = { tenants: [ACME], publicRoutes: [] };
  rig.addTarget('t-1');
  const res = rig.request({ headers: KEY });
  rig.run(600);
  assert.equal(res.status, 200);
  const [sent] = rig.sender.sent;
  assert.deepEqual(sent?.headers.slice(-2), ['tenant', 'acme']);
});

const REFUSED: readonly {
  readonly name: string; readonly headers: Record<string, string>; readonly status: number;
}[] = [
  { name: 'no key', headers: {}, status: 401 },
  { name: 'an unknown key', headers: { key: 'k-2' }, status: 401 },
  { name: 'an empty key', headers: { key: '' }, status: 401 },
  { name: 'a key in another case', headers: { key: 'K-1' }, status: 401 },
  { name: 'two keys in one header', headers: { key: 'k-1, k-1' }, status: 401 },
];
REFUSED.forEach(({ name, headers, status }) => {
  test(`a request with ${name} does not run`, (t) => {
    const rig = new GatewayRig(t);
    rig.tenants = { tenants: [ACME], publicRoutes: [] };
    rig.addTarget('t-1');
    const res = rig.request({ headers });
    rig.run(600);
    assert.deepEqual([res.status, rig.sender.sent.length], [status, 0]);
  });
});

test('a public route needs no key and takes any, and its requests are of no tenant', (t) => {
  const rig = new GatewayRig(t);
  rig.tenants = { tenants: [ACME], publicRoutes: ['lots'] };
  rig.isProven = false;
  rig.addTarget('t-1');
  const keys: Record<string, string>[] = [{}, KEY, { key: 'k-2' }];
  const responses = keys.map((headers) => {
    const res = rig.request({ headers });
    rig.run(600);
    return res.status;
  });
  assert.deepEqual(responses, [200, 200, 200]);
  assert.equal(rig.sender.sent.some(({ headers }) => headers.includes('tenant')), false);
});

test('without tenants no key is needed and no proof', (t) => {
  const rig = new GatewayRig(t);
  rig.isProven = false;
  rig.addTarget('t-1');
  const res = rig.request();
  rig.run(600);
  assert.equal(res.status, 200);
});

// Guards against an entry without control that serves revoked keys, or refuses added ones for good.
test('without a proof a request with any key is refused with time to come back', (t) => {
  const rig = new GatewayRig(t);
  rig.tenants = { tenants: [ACME], publicRoutes: [] };
  rig.isProven = false;
  rig.addTarget('t-1');
  const responses = [KEY, { key: 'k-2' }].map((headers) => rig.request({ headers }));
  rig.run(600);
  responses.forEach((res) => {
    assert.deepEqual([res.status, Number(res.headers['retry-after']) > 0], [503, true]);
  });
  assert.equal(rig.sender.sent.length, 0);
});

// A request that waits for a target is sent long after its key was read.
[
  { name: 'is revoked', tenants: [createTenant('acme', 'k-2')], status: 401 },
  { name: 'goes to another tenant', tenants: [createTenant('other', 'k-1')], status: 503 },
].forEach(({ name, tenants, status }) => {
  test(`a waiting request is not sent once its key ${name}`, (t) => {
    const rig = new GatewayRig(t);
    rig.tenants = { tenants: [ACME], publicRoutes: [] };
    const target = rig.addTarget('t-1', { slots: 1, workMs: 100 });
    const first = rig.request({ headers: KEY });
    rig.run(20);
    const second = rig.request({ headers: KEY });
    rig.run(20);
    rig.tenants = { tenants, publicRoutes: [] };
    rig.run(600);
    assert.equal(target.id, 't-1');
    assert.deepEqual([first.status, second.status], [200, status]);
    assert.equal(rig.sender.sent.length, 1);
  });
});

test('a waiting request is not sent once the proof has run out', (t) => {
  const rig = new GatewayRig(t);
  rig.tenants = { tenants: [ACME], publicRoutes: [] };
  rig.addTarget('t-1', { slots: 1, workMs: 100 });
  const first = rig.request({ headers: KEY });
  rig.run(20);
  const second = rig.request({ headers: KEY });
  rig.isProven = false;
  rig.run(600);
  assert.deepEqual([first.status, second.status], [200, 503]);
});

test('a key is checked again before a retry', (t) => {
  const rig = new GatewayRig(t);
  rig.tenants = { tenants: [ACME], publicRoutes: [] };
  rig.addTarget('t-1', { mode: 'not-run' });
  rig.addTarget('t-2', { mode: 'not-run' });
  const res = rig.request({ headers: KEY });
  rig.run(1);
  rig.tenants = { tenants: [], publicRoutes: [] };
  rig.run(600);
  assert.equal(rig.sender.sent.length <= 1, true);
  assert.equal([401, 503].includes(res.status ?? 0), true);
});

test('a relayed request is checked by the entry that receives it', (t) => {
  const rig = new GatewayRig(t);
  rig.tenants = { tenants: [ACME], publicRoutes: [] };
  rig.addTarget('t-1');
  const res = rig.relayed();
  rig.run(600);
  assert.deepEqual([res.status, rig.sender.sent.length], [401, 0]);
});

test('a request goes only to entries that check keys, and only in regions of its tenant', (t) => {
  const rig = new GatewayRig(t);
  const tenant = createTenant('acme', 'k-1', { homeRegions: ['near'] });
  rig.tenants = { tenants: [tenant], publicRoutes: [] };
  const target = rig.addTarget('t-1');
  rig.request({ headers: KEY });
  rig.run(400);
  target.mode = 'silent';
  rig.request({ headers: KEY });
  rig.run(1500);
  const [relayed] = rig.relay.sent;
  assert.deepEqual([relayed?.needsKeyCheck, relayed?.homeRegions], [true, ['near']]);
});

test('home regions of route and tenant both apply', (t) => {
  const rig = new GatewayRig(t, { homeRegions: ['near', 'far'] });
  rig.addTarget('t-1');
  rig.addTarget('t-2', { region: 'far' });
  [['far'], ['elsewhere']].forEach((homeRegions) => {
    rig.tenants = { tenants: [createTenant('acme', 'k-1', { homeRegions })], publicRoutes: [] };
    const res = rig.request({ headers: KEY });
    rig.run(600);
    assert.equal(res.status, homeRegions[0] === 'far' ? 200 : 503);
  });
  assert.deepEqual(rig.sender.sent.map(({ target }) => target.id), ['t-2']);
  assert.equal(rig.relay.sent.length, 0);
});

test('priority and regions of a tenant precede those of the route', (t) => {
  const { route } = new GatewayRig(t, { priority: 3, homeRegions: ['a', 'b'] });
  const cases: [Partial<DeclaredTenant>, number, string[] | undefined][] = [
    [{}, 3, ['a', 'b']], [{ priority: 0 }, 0, ['a', 'b']], [{ priority: 9 }, 9, ['a', 'b']],
    [{ homeRegions: ['b', 'c'] }, 3, ['b']], [{ homeRegions: ['c'] }, 3, []],
  ];
  cases.forEach(([change, priority, regions]) => {
    const applied = applyTenant(route, createTenant('acme', 'k-1', change));
    assert.deepEqual([applied.priority, applied.homeRegions], [priority, regions]);
  });
  assert.equal(applyTenant(route, undefined), route);
  const { homeRegions, ...anywhere } = route;
  assert.deepEqual(homeRegions, ['a', 'b']);
  assert.equal(applyTenant(anywhere, ACME).homeRegions, undefined);
  assert.deepEqual(applyTenant(anywhere, { ...ACME, homeRegions: ['c'] }).homeRegions, ['c']);
});
