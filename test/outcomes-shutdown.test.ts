import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { Agent, request } from 'undici';

import announce from '@guavayard/emulator/announce';
import EmulatedTarget from '@guavayard/emulator/EmulatedTarget';
import OperatorClient from '@guavayard/operator/OperatorClient';

import VmProcess from './support/VmProcess';

const REQUESTS = 200;
const LATE_REQUESTS = 20;
const MIN_SERVICE_MS = 10;
const MAX_SERVICE_MS = 5000;
const NOTICE_MS = 1000;
const TARGETS = 4;
const TIME_TO_LIVE_MS = 3_600_000;

async function startVm(t: TestContext): Promise<[VmProcess, EmulatedTarget[]]> {
  const location = { region: 'munster', dataCentre: 'munster-1' };
  const control = new VmProcess({
    name: 'control-1', ...location, roles: ['control'], control: ['127.0.0.1:1'],
  });
  t.after(async () => control.remove());
  assert.equal(await control.runCommand('init'), 0);
  await control.start();
  const vm = new VmProcess({
    name: 'entry-1', ...location, roles: ['entry'], control: [control.address('vm')], noticeMs: NOTICE_MS,
  });
  t.after(async () => vm.remove());
  await vm.start();
  const client = new OperatorClient(`http://${control.address('operator')}`, control.token);
  await client.submit({
    id: 'first',
    base: 0,
    operations: [
      { op: 'add', path: '/services/listing', value: {} },
      { op: 'add', path: '/dataCentres/munster-1', value: { region: 'munster', state: 'in' } },
      { op: 'add', path: '/routes/lots', value: { pathPrefix: '/lots', service: 'listing' } },
    ],
  });
  await vm.waitForLine((line) => line.msg === 'configuration in force' && line.version === 1);
  const targets = await Promise.all(Array.from({ length: TARGETS }, async (_, index) => {
    const target = new EmulatedTarget(`target-${index}`, { slots: REQUESTS });
    t.after(() => {
      target.server.closeAllConnections();
      target.server.close();
    });
    await announce(vm.address('target'), {
      id: `target-${index}`,
      service: 'listing',
      dataCentre: 'munster-1',
      address: await target.listen(),
      slots: REQUESTS,
      connectionLimit: 260,
      startId: 'start-1',
      state: 'ready',
      timeToLiveMs: TIME_TO_LIVE_MS,
    });
    return target;
  }));
  return [vm, targets];
}

test('a shutdown under load completes every accepted request', async (t) => {
  const [vm, targets] = await startVm(t);
  const dispatcher = new Agent();
  t.after(async () => dispatcher.destroy());
  const origin = `http://${vm.address('caller')}`;
  const responses = Array.from({ length: REQUESTS }, async (_, index) => {
    const stepMs = (MAX_SERVICE_MS - MIN_SERVICE_MS) / (REQUESTS - 1);
    const res = await request(`${origin}/lots/${index}`, {
      dispatcher,
      method: 'POST',
      body: `lot ${index}`,
      headers: { 'emulated-service-time-ms': String(Math.round(MIN_SERVICE_MS + index * stepMs)) },
    });
    return `${res.statusCode} ${await res.body.text()}`;
  });
  await Promise.race(responses);
  const exited = vm.stop('SIGTERM');
  await vm.waitForLine((line) => line.msg === 'not ready any more');
  process.kill(vm.pid, 'SIGTERM');
  // The VM keeps serving until the platform has had time to detect that it is not ready.
  const ready = await request(`http://${vm.address('platform')}/ready`);
  assert.equal(ready.statusCode, 503);
  await ready.body.dump();
  const late = await request(`${origin}/lots/late`, { dispatcher });
  assert.equal(late.statusCode, 200);
  assert.equal(late.headers.connection, 'close');
  await late.body.dump();
  const expected = Array.from({ length: REQUESTS }, (_, index) => `200 lot ${index}`);
  assert.deepEqual(await Promise.all(responses), expected);
  assert.equal(await exited, 0);
  assert.equal(targets.reduce((sum, { runs }) => sum + runs, 0), REQUESTS + 1);
});

test('requests that arrive while a stopping VM is suspended get a response', async (t) => {
  const [vm, targets] = await startVm(t);
  const dispatcher = new Agent();
  t.after(async () => dispatcher.destroy());
  const exited = vm.stop('SIGTERM');
  await vm.waitForLine((line) => line.msg === 'not ready any more');
  // The notice period ends while the process is suspended, so that its timer is due before it reads
  // any request.
  process.kill(vm.pid, 'SIGSTOP');
  const responses = Array.from({ length: LATE_REQUESTS }, async (_, index) => {
    const res = await request(`http://${vm.address('caller')}/lots/${index}`, { dispatcher });
    await res.body.dump();
    return res.statusCode;
  });
  await sleep(NOTICE_MS);
  process.kill(vm.pid, 'SIGCONT');
  assert.deepEqual(await Promise.all(responses), responses.map(() => 200));
  assert.equal(await exited, 0);
  assert.equal(targets.reduce((sum, { runs }) => sum + runs, 0), LATE_REQUESTS);
});

test('a shutdown waits for an incomplete request until its deadline and logs the failure', async (t) => {
  const [vm] = await startVm(t);
  const [host = '', port = ''] = vm.address('caller').split(':');
  const stalled = connect(Number(port), host);
  const partial = connect(Number(port), host);
  t.after(() => {
    stalled.destroy();
    partial.destroy();
  });
  stalled.on('error', () => undefined);
  partial.on('error', () => undefined);
  partial.write('GET /lots/1 HTTP/1.1\r\nhost: ');
  stalled.write('POST /lots/1 HTTP/1.1\r\nhost: lots\r\nguavayard-deadline-ms: 2500\r\ncontent-length: 9\r\n\r\npart');
  const exited = vm.stop('SIGTERM');
  await vm.waitForLine((line) => line.msg === 'request failed');
  assert.equal(await exited, 0);
});
