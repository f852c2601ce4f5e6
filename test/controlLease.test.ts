import assert from 'node:assert/strict';
import { performance } from 'node:perf_hooks';
import { test } from 'node:test';

import { request } from 'undici';

import announce from '@guavayard/emulator/announce';
import EmulatedTarget from '@guavayard/emulator/EmulatedTarget';

import assertNoBreach from './support/assertNoBreach';
import ControlGroup from './support/ControlGroup';
import eventually from './support/eventually';
import LinkRelay from './support/LinkRelay';
import VmProcess from './support/VmProcess';

/** The objective: an accepted configuration is in force everywhere within 9 s. */
const IN_FORCE_TARGET_MS = 9000;
const TIME_TO_LIVE_MS = 3_600_000;

interface GetResult {
  readonly status: number;
  readonly outcome: string | undefined;
}

async function get(address: string, path: string): Promise<GetResult> {
  const response = await request(`http://${address}${path}`);
  await response.body.dump();
  return {
    status: response.statusCode, outcome: response.headers['guavayard-outcome'] as string | undefined,
  };
}

async function waitForStatus(address: string, path: string, status: number): Promise<GetResult> {
  return eventually(`status ${status} of ${path}`, async () => {
    const response = await get(address, path);
    return response.status === status ? response : undefined;
  });
}

test('a partitioned entry stops dispatching before the removal of a data centre is in force', async (t) => {
  const group = new ControlGroup();
  t.after(async () => group.remove());
  await group.start();
  const relays = group.addresses.map((address) => new LinkRelay(Number(address.split(':')[1])));
  t.after(() => relays.forEach((relay) => relay.close()));
  const entry = new VmProcess({
    name: 'entry-1',
    region: 'munster',
    dataCentre: 'munster-1',
    roles: ['entry'],
    control: await Promise.all(relays.map(async (relay) => relay.listen())),
  });
  t.after(async () => entry.remove());
  await entry.start();
  const target = new EmulatedTarget('target-1');
  t.after(() => target.server.close());
  await announce(entry.address('target'), {
    id: 'target-1',
    service: 'listing',
    dataCentre: 'munster-1',
    address: await target.listen(),
    slots: 2,
    connectionLimit: 260,
    startId: 'start-1',
    state: 'ready',
    timeToLiveMs: TIME_TO_LIVE_MS,
  });
  const client = group.client(0);
  const prepared = await client.submit({
    id: 'prepare',
    base: 0,
    operations: [
      { op: 'add', path: '/services/listing', value: {} },
      { op: 'add', path: '/dataCentres/munster-1', value: { region: 'munster', state: 'in' } },
      { op: 'add', path: '/routes/lots', value: { pathPrefix: '/lots', service: 'listing' } },
    ],
  });
  assert.equal(prepared.unwrap(), 1);
  const caller = entry.address('caller');
  await waitForStatus(caller, '/lots/1', 200);
  await waitForStatus(entry.address('platform'), '/ready', 200);

  relays.forEach((relay) => relay.cut());
  const operations = [{ op: 'replace' as const, path: '/dataCentres/munster-1/state', value: 'out' }];
  assert.equal((await client.submit({ id: 'out', base: 1, operations })).unwrap(), 2);
  const acceptedMs = performance.now();
  let lastDispatchMs = acceptedMs;
  let runs = -1;
  const refusal = await eventually('a refusal', async () => {
    if (target.runs > runs) lastDispatchMs = performance.now();
    runs = target.runs;
    const response = await get(caller, '/lots/1');
    return response.status === 200 ? undefined : response;
  });
  t.diagnostic(`last dispatch ${Math.round(lastDispatchMs - acceptedMs)} ms after acceptance`);
  assert.ok(lastDispatchMs - acceptedMs < IN_FORCE_TARGET_MS);
  assert.deepEqual(refusal, { status: 503, outcome: 'not-run' });
  await waitForStatus(entry.address('platform'), '/ready', 503);

  await eventually('version 2 in force', async () => {
    const { inForceVersion } = await group.enforcement(0);
    return inForceVersion === 2 ? inForceVersion : undefined;
  });
  const inForceMs = performance.now();
  t.diagnostic(`in force ${Math.round(inForceMs - acceptedMs)} ms after acceptance`);
  assert.ok(inForceMs - acceptedMs < IN_FORCE_TARGET_MS);
  runs = target.runs;
  relays.forEach((relay) => relay.heal());
  await waitForStatus(entry.address('platform'), '/ready', 200);
  assert.equal((await get(caller, '/lots/1')).outcome, 'not-run');
  assert.equal(target.runs, runs);
  await eventually('a session with the entry', async () => {
    const { vms } = (await client.vms()).unwrap();
    return vms.find((vm) => vm.entry !== undefined);
  });
  await assertNoBreach(client, 1);
});
