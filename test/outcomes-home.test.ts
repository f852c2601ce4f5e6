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

interface Site {
  readonly entry: TestEntry;
  readonly target: EmulatedTarget;
  readonly client: Client;
}

/** An entry and a target in each region; every entry knows every target. */
async function start(t: TestContext): Promise<Site[]> {
  const entries: TestEntry[] = [];
  const sites = await Promise.all(REGIONS.map(async (region) => {
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
  return sites;
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

function countRuns(sites: readonly Site[]): number[] {
  return sites.map(({ target }) => target.runs);
}

function countArrivals(sites: readonly Site[]): number[] {
  return sites.map(({ entry }) => entry.records.length);
}

test('a request that arrives outside its home is served at home only', async (t) => {
  const sites = await start(t);
  const [, leinster] = sites;
  assert.ok(leinster !== undefined);
  const body = randomBytes(BODY_BYTES);
  const answer = await post(leinster.client, body);
  assert.equal(answer.status, 200);
  assert.ok(body.equals(answer.body));
  assert.deepEqual(countRuns(sites), [1, 0, 0]);
  assert.deepEqual(countArrivals(sites), [1, 1, 0]);
  assert.equal(leinster.entry.records[0]?.isRelayed, true);
  assert.equal(leinster.entry.records[0]?.targetDataCentre, undefined);
});

test('without an entry at home a request is refused as not run', async (t) => {
  const sites = await start(t);
  const [munster, leinster] = sites;
  assert.ok(munster !== undefined && leinster !== undefined);
  await munster.entry.close();
  const answer = await post(leinster.client, 'lot 7');
  assert.deepEqual([answer.error, answer.outcome], ['noHomeEntry', 'not-run']);
  assert.deepEqual(countRuns(sites), [0, 0, 0]);
});

test('entries that disagree about the home hand a request on once only', async (t) => {
  const sites = await start(t);
  const [munster, leinster, connacht] = sites;
  assert.ok(munster !== undefined && leinster !== undefined && connacht !== undefined);
  munster.entry.configuration = configure('connacht');
  const answer = await post(leinster.client, 'lot 7');
  assert.deepEqual([answer.error, answer.outcome], ['noHomeEntry', 'not-run']);
  assert.deepEqual(countRuns(sites), [0, 0, 0]);
  // The rule in force everywhere, the request is served at its new home.
  sites.forEach(({ entry }) => entry.configure(configure('connacht')));
  assert.equal((await post(leinster.client, 'lot 7')).status, 200);
  assert.deepEqual(countRuns(sites), [0, 0, 1]);
});

test('a caller cannot pass for an entry', async (t) => {
  const sites = await start(t);
  const [, leinster] = sites;
  assert.ok(leinster !== undefined);
  const answer = await post(leinster.client, 'lot 7', { 'guavayard-relay': `home.${'0'.repeat(64)}` });
  assert.equal(answer.status, 200);
  assert.deepEqual(countRuns(sites), [1, 0, 0]);
});

test('an attempt for a target that only its owner may use is sent by the owner', async (t) => {
  const sites = await start(t);
  const [munster, leinster] = sites;
  assert.ok(munster !== undefined && leinster !== undefined);
  leinster.entry.relayTo = 'entry-1';
  const res = await leinster.client.request({
    method: 'POST', path: '/lots', body: 'lot 7', headers: { 'idempotency-key': 'hold-7' },
  });
  assert.equal(await res.body.text(), 'lot 7');
  assert.deepEqual(countRuns(sites), [1, 0, 0]);
  // An owner that is gone is evidence that nothing ran.
  await munster.entry.close();
  const refused = await post(leinster.client, 'lot 8', { 'guavayard-tenant': 'none' });
  assert.equal(refused.outcome, 'not-run');
  assert.deepEqual(countRuns(sites), [1, 0, 0]);
});
