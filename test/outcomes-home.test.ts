import assert from 'node:assert/strict';
import { randomBytes } from 'node:crypto';
import { test, type TestContext } from 'node:test';

import { Client } from 'undici';

import EmulatedTarget from '@guavayard/emulator/EmulatedTarget';
import Configuration from '@guavayard/core/types/Configuration';

import TestEntry from './support/TestEntry';

const REGIONS = ['munster', 'leinster', 'connacht'] as const;
const BODY_BYTES = 3 * 1024 * 1024;

function configure(homeRegion: string): Configuration {
  return Configuration.parse({
    services: { listing: {} },
    dataCentres: Object.fromEntries(REGIONS.map((region) => [`${region}-1`, { region, state: 'in' }])),
    routes: { all: { pathPrefix: '/', service: 'listing' } },
    tenants: { cooper: { homeRegions: [homeRegion] } },
  });
}

interface RegionFixture {
  readonly entry: TestEntry;
  readonly target: EmulatedTarget;
  readonly client: Client;
}

/** An entry and a target in each region; every entry knows every target. */
async function start(t: TestContext): Promise<RegionFixture[]> {
  const entries: TestEntry[] = [];
  const fixtures = await Promise.all(REGIONS.map(async (region) => {
    const entry = new TestEntry(undefined, region, entries);
    entry.configuration = configure('munster');
    const target = new EmulatedTarget(region);
    entry.addTarget(await target.listen());
    const client = new Client(`http://127.0.0.1:${await entry.listen()}`);
    t.after(async () => {
      await client.destroy();
      await entry.close();
      await entry.sender.close();
      target.server.close();
    });
    return { entry, target, client };
  }));
  return fixtures;
}

async function post(client: Client, body: string | Buffer, headers = {}): Promise<{
  status: number; error: unknown; outcome: unknown; body: Buffer;
}> {
  const res = await client.request({
    method: 'POST', path: '/lots', body, headers: { 'guavayard-tenant': 'cooper', ...headers },
  });
  return {
    status: res.statusCode,
    error: res.headers['guavayard-error'],
    outcome: res.headers['guavayard-outcome'],
    body: Buffer.from(await res.body.arrayBuffer()),
  };
}

function countRuns(fixtures: readonly RegionFixture[]): number[] {
  return fixtures.map(({ target }) => target.runs);
}

function countArrivals(fixtures: readonly RegionFixture[]): number[] {
  return fixtures.map(({ entry }) => entry.records.length);
}

test('a request that arrives outside its home region is served only in its home region', async (t) => {
  const fixtures = await start(t);
  const [, leinster] = fixtures;
  assert.ok(leinster !== undefined);
  const body = randomBytes(BODY_BYTES);
  const response = await post(leinster.client, body);
  assert.equal(response.status, 200);
  assert.ok(body.equals(response.body));
  assert.deepEqual(countRuns(fixtures), [1, 0, 0]);
  assert.deepEqual(countArrivals(fixtures), [1, 1, 0]);
  assert.equal(leinster.entry.records[0]?.isRelayed, true);
  assert.equal(leinster.entry.records[0]?.targetDataCentre, undefined);
});

test('without an entry in the home region a request is rejected as not run', async (t) => {
  const fixtures = await start(t);
  const [munster, leinster] = fixtures;
  assert.ok(munster !== undefined && leinster !== undefined);
  await munster.entry.close();
  const response = await post(leinster.client, 'lot 7');
  assert.deepEqual([response.error, response.outcome], ['noHomeEntry', 'not-run']);
  assert.deepEqual(countRuns(fixtures), [0, 0, 0]);
});

test('entries that disagree about the home region relay a request only once', async (t) => {
  const fixtures = await start(t);
  const [munster, leinster, connacht] = fixtures;
  assert.ok(munster !== undefined && leinster !== undefined && connacht !== undefined);
  munster.entry.configuration = configure('connacht');
  const response = await post(leinster.client, 'lot 7');
  assert.deepEqual([response.error, response.outcome], ['noHomeEntry', 'not-run']);
  assert.deepEqual(countRuns(fixtures), [0, 0, 0]);
  // Once every entry has the new configuration, the request is served in its new home region.
  fixtures.forEach(({ entry }) => entry.configure(configure('connacht')));
  assert.equal((await post(leinster.client, 'lot 7')).status, 200);
  assert.deepEqual(countRuns(fixtures), [0, 0, 1]);
});

test('a caller cannot impersonate an entry', async (t) => {
  const fixtures = await start(t);
  const [, leinster] = fixtures;
  assert.ok(leinster !== undefined);
  const response = await post(leinster.client, 'lot 7', { 'guavayard-relay': `home.${'0'.repeat(64)}` });
  assert.equal(response.status, 200);
  assert.deepEqual(countRuns(fixtures), [1, 0, 0]);
});

test('an attempt for a target that only its owner may use is relayed to the owner', async (t) => {
  const fixtures = await start(t);
  const [munster, leinster] = fixtures;
  assert.ok(munster !== undefined && leinster !== undefined);
  leinster.entry.relayTo = 'entry-1';
  const res = await leinster.client.request({
    method: 'POST', path: '/lots', body: 'lot 7', headers: { 'idempotency-key': 'hold-7' },
  });
  assert.equal(await res.body.text(), 'lot 7');
  assert.deepEqual(countRuns(fixtures), [1, 0, 0]);
  // A failure to connect to the owner proves that the attempt did not run.
  await munster.entry.close();
  const refused = await post(leinster.client, 'lot 8', { 'guavayard-tenant': 'none' });
  assert.equal(refused.outcome, 'not-run');
  assert.deepEqual(countRuns(fixtures), [1, 0, 0]);
});
