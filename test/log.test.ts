import assert from 'node:assert/strict';
import { test } from 'node:test';

import { request } from 'undici';

import VmProcess from './support/VmProcess';

const REQUESTS = 3;

test('a VM keeps running after the reader of its log has closed the pipe', async (t) => {
  const vm = new VmProcess({
    name: 'vm-1',
    region: 'munster',
    dataCentre: 'munster-1',
    roles: ['entry'],
    control: ['127.0.0.1:1'],
  });
  t.after(async () => vm.remove());
  await vm.start();
  const url = `http://${vm.address('caller')}/none`;
  vm.closeLog();
  for (let index = 0; index < REQUESTS; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- each rejected request writes a line to the log
    const response = await request(url);
    assert.equal(response.headers['guavayard-outcome'], 'not-run');
    // eslint-disable-next-line no-await-in-loop
    await response.body.dump();
  }
  assert.ok(vm.isRunning);
});
