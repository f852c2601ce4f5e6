import assert from 'node:assert/strict';
import { randomBytes } from 'node:crypto';
import { test } from 'node:test';

import { request } from 'undici';

import announce from '@guavayard/emulator/announce';
import EmulatedTarget from '@guavayard/emulator/EmulatedTarget';
import OperatorClient from '@guavayard/operator/OperatorClient';

import assertNoBreach from './support/assertNoBreach';
import VmProcess from './support/VmProcess';

const BODY_BYTES = 5 * 1024 * 1024;
const TIME_TO_LIVE_MS = 3_600_000;

test('a request goes through separate processes to a target and back', async (t) => {
  const location = { region: 'munster', dataCentre: 'munster-1' };
  const control = new VmProcess({
    name: 'control-1', ...location, roles: ['control'], control: ['127.0.0.1:1'],
  });
  t.after(async () => control.remove());
  assert.equal(await control.runCommand('init'), 0);
  await control.start();
  const entry = new VmProcess({
    name: 'entry-1', ...location, roles: ['entry'], control: [control.address('vm')],
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
  const client = new OperatorClient(`http://${control.address('operator')}`, control.token);
  const version = await client.submit({
    id: 'first',
    base: 0,
    operations: [
      { op: 'add', path: '/services/listing', value: {} },
      { op: 'add', path: '/dataCentres/munster-1', value: { region: 'munster', state: 'in' } },
      { op: 'add', path: '/routes/lots', value: { pathPrefix: '/lots', service: 'listing' } },
    ],
  });
  assert.equal(version.unwrap(), 1);
  await entry.waitForLine((line) => line.msg === 'configuration in force' && line.version === 1);

  const small = await request(`http://${entry.address('caller')}/lots/1`);
  assert.equal(small.statusCode, 200);
  assert.equal(await small.body.text(), 'GET /lots/1 answered by target-1\n');

  const body = randomBytes(BODY_BYTES);
  const large = await request(`http://${entry.address('caller')}/lots/1`, { method: 'POST', body });
  assert.ok(body.equals(Buffer.from(await large.body.arrayBuffer())));

  const unrouted = await request(`http://${entry.address('caller')}/none`);
  assert.equal(unrouted.statusCode, 404);
  assert.equal(unrouted.headers['guavayard-outcome'], 'not-run');
  await unrouted.body.dump();

  assert.equal(target.runs, 2);
  await assertNoBreach(client, 1);
  assert.equal(await entry.stop(), 0);
  assert.equal(await control.stop(), 0);
});
