import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';

import { request } from 'undici';

import BurnReport from '@guavayard/core/objectives/BurnReport';
import announce from '@guavayard/emulator/announce';
import EmulatedTarget from '@guavayard/emulator/EmulatedTarget';
import OperatorClient from '@guavayard/operator/OperatorClient';

import assertNoBreach from './support/assertNoBreach';
import runBinary from './support/runBinary';
import VmProcess from './support/VmProcess';

const TIME_TO_LIVE_MS = 3_600_000;
const PLACE = { region: 'munster', dataCentre: 'munster-1' };

async function get(url: string, headers = {}): Promise<string> {
  const response = await request(url, { headers });
  await response.body.dump();
  return `${response.statusCode} ${String(response.headers['guavayard-request-id'])}`;
}

test('report and status show the counts of an entry by cause and data centre', async (t) => {
  const control = new VmProcess({
    name: 'control-1', ...PLACE, roles: ['control'], control: ['127.0.0.1:1'],
  });
  t.after(async () => control.remove());
  assert.equal(await control.runCommand('init'), 0);
  await control.start();
  const entry = new VmProcess({
    name: 'entry-1', ...PLACE, roles: ['entry'], control: [control.address('vm')],
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
  const url = `http://${control.address('operator')}`;
  const client = new OperatorClient(url, control.token);
  const objectives = { availability: 0.99, latency: { thresholdMs: 60_000, share: 0.99 } };
  const version = await client.submit({
    id: 'first',
    base: 0,
    operations: [
      { op: 'add', path: '/services/listing', value: { objectives } },
      { op: 'add', path: '/services/ledger', value: { objectives } },
      { op: 'add', path: '/dataCentres/munster-1', value: { region: 'munster', state: 'in' } },
      { op: 'add', path: '/routes/lots', value: { pathPrefix: '/lots', service: 'listing' } },
      { op: 'add', path: '/routes/ledger', value: { pathPrefix: '/ledger', service: 'ledger' } },
    ],
  });
  assert.equal(version.unwrap(), 1);
  await entry.waitForLine((line) => line.msg === 'configuration in force' && line.version === 1);

  const base = `http://${entry.address('caller')}`;
  assert.equal(await get(`${base}/lots/1`, { 'guavayard-request-id': 'mine-1' }), '200 mine-1');
  assert.match(await get(`${base}/ledger`), /^503 [0-9a-f-]{36}$/);
  const failed = await entry.waitForLine((line) => line.msg === 'request failed');
  assert.equal(failed.failure, 'noTarget');

  const options = ['--url', url, '--token-file', join(control.folder, 'token')];
  const json = await runBinary('report', ...options, '--json');
  assert.equal(json.exitCode, 0);
  const report = BurnReport.parse(JSON.parse(json.stdout));
  const burns = report.services.map(({ service, burns: [burn], causes }) => (
    [service, burn?.windows[0]?.total, burn?.windows[0]?.bad, causes.map(({ cause }) => cause)]
  ));
  assert.deepEqual(burns, [['ledger', 1, 1, ['noTarget']], ['listing', 1, 0, []]]);
  const text = await runBinary('report', ...options);
  assert.match(text.stdout, /ledger +99% answered +100 .*page 5 min\/1 h/);
  const page = join(control.folder, 'report.html');
  assert.equal((await runBinary('report', ...options, '--page', page)).exitCode, 0);
  assert.match(readFileSync(page, 'utf8'), /<h2>ledger<\/h2>.*<polyline/);

  const status = await runBinary('status', ...options);
  assert.match(status.stdout, /entry-1 +munster +munster-1 +entry +1 /);
  assert.match(status.stdout, /entry-1 +held +ready +1 +0 +0 /);
  assert.match(status.stdout, /control-1 +leader +[1-9]\d* +control-1 +control-1\n/);
  assert.match(status.stdout, /invariants: no breach/);
  await assertNoBreach(client, 1);
});
