import assert from 'node:assert/strict';
import { once } from 'node:events';
import { writeFileSync } from 'node:fs';
import { connect } from 'node:net';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { after, before, test } from 'node:test';

import ControlGroup from './support/ControlGroup';
import eventually from './support/eventually';
import runBinary from './support/runBinary';

const RACE_ROUNDS = 100;
const PATCHES_BEFORE_RESTART = 500;

const group = new ControlGroup();
const expected = { version: 0 };

function createPatch(id: string, base: number): Parameters<ReturnType<typeof group.client>['submit']>[0] {
  const dataCentre = { region: 'munster', state: 'in' };
  return { id, base, operations: [{ op: 'add', path: '/dataCentres/munster-1', value: dataCentre }] };
}

async function submit(index: number, id: string): Promise<void> {
  const accepted = await group.client(index).submit(createPatch(id, expected.version));
  expected.version += 1;
  assert.equal(accepted.unwrap(), expected.version);
}

async function submitAll(vmIndex: number, name: string, count: number): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- each patch is based on the previous version
    await submit(vmIndex, `${name}-${index}`);
  }
}

before(async () => group.start());
after(async () => group.remove());

test('of three concurrent patches on the same version exactly one is accepted, in 100 rounds', async () => {
  for (let round = 0; round < RACE_ROUNDS; round += 1) {
    const ids = [0, 1, 2].map((index) => `race-${round}-${index}`);
    // eslint-disable-next-line no-await-in-loop -- each round is based on the previous version
    const responses = await Promise.all(ids.map(async (id, index) => (
      group.client(index).submit(createPatch(id, expected.version))
    )));
    expected.version += 1;
    const versions = responses.flatMap((response) => (response.ok ? [response.val] : []));
    assert.deepEqual(versions, [expected.version]);
    // eslint-disable-next-line no-await-in-loop
    const outcomes = await Promise.all(ids.map(async (id, index) => (
      (await group.client(index + 1).outcome(id, expected.version - 1)).unwrap().outcome
    )));
    assert.deepEqual(outcomes, responses.map((response) => (response.ok ? 'accepted' : 'superseded')));
  }
});

test('a resent patch is recognised after the leader was killed before it responded', async () => {
  const leader = await group.findLeader(0);
  const other = leader + 1;
  const patch = createPatch('unanswered', expected.version);
  const body = JSON.stringify(patch);
  const [host, port] = group.vm(leader).address('operator').split(':');
  const socket = connect(Number(port), host);
  await once(socket, 'connect');
  socket.on('error', () => undefined);
  // The response is never read, as if the operator had lost it.
  socket.pause();
  socket.write(`POST /v1/patches HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${group.vm(leader).token}\r\n`
    + `content-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
  expected.version += 1;
  await group.waitForVersion(leader, expected.version);
  await group.vm(leader).stop('SIGKILL');
  socket.destroy();
  const outcome = await group.client(other).outcome('unanswered', expected.version - 1);
  assert.deepEqual(outcome.unwrap(), { outcome: 'accepted', version: expected.version });
  assert.equal((await group.client(other).submit(patch)).unwrap(), expected.version);
  assert.equal((await group.client(other).configuration()).unwrap().version, expected.version);
  const late = await group.client(other).submit(createPatch('late', expected.version - 1));
  assert.match(late.val as string, /another version/);
  await group.vm(leader).start();
});

test('no accepted patch is lost when the voters are killed one after the other', async () => {
  for (let index = 0; index < group.vms.length; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- sequential
    await group.vm(index).stop('SIGKILL');
    // eslint-disable-next-line no-await-in-loop
    await submitAll(index + 1, `without-${index}`, 5);
    // eslint-disable-next-line no-await-in-loop
    await group.vm(index).start();
    // eslint-disable-next-line no-await-in-loop
    await group.waitForVersion(index, expected.version);
  }
});

test('all voters killed after 500 patches recover the last accepted version', async (t) => {
  await submitAll(await group.findLeader(0), 'many', PATCHES_BEFORE_RESTART);
  await Promise.all(group.vms.map(async (vm) => vm.stop('SIGKILL')));
  const startMs = performance.now();
  await Promise.all(group.vms.map(async (vm) => vm.start()));
  const current = await eventually('the configuration', async () => {
    const response = await group.client(0).configuration();
    return response.ok ? response.val : undefined;
  });
  t.diagnostic(`recovered after ${Math.round(performance.now() - startMs)} ms at version ${expected.version}`);
  assert.equal(current.version, expected.version);
  const last = await group.client(1).outcome(`many-${PATCHES_BEFORE_RESTART - 1}`, expected.version - 1);
  assert.deepEqual(last.unwrap(), { outcome: 'accepted', version: expected.version });
});

test('a leader that resumes after SIGSTOP accepts nothing and catches up', async () => {
  const leader = await group.findLeader(0);
  process.kill(group.vm(leader).pid, 'SIGSTOP');
  // The leader reads this patch when it resumes, possibly before it learns of the next leader.
  const response = group.client(leader).submit(createPatch('stale', expected.version));
  await submitAll(leader + 1, 'while-frozen', 3);
  process.kill(group.vm(leader).pid, 'SIGCONT');
  assert.match((await response).val as string, /another version/);
  const outcome = await group.client(leader).outcome('stale', expected.version - 3);
  assert.equal(outcome.unwrap().outcome, 'superseded');
  await group.waitForVersion(leader, expected.version);
});

test('a partitioned leader accepts nothing', async () => {
  const leader = await group.findLeader(0);
  group.isolate(leader);
  const alone = group.client(leader).submit(createPatch('alone', expected.version));
  await submitAll(leader + 1, 'without-leader', 3);
  assert.match((await alone).val as string, /no quorum/);
  group.heal();
  await group.waitForVersion(leader, expected.version);
  const outcome = await group.client(leader).outcome('alone', expected.version - 3);
  assert.equal(outcome.unwrap().outcome, 'superseded');
});

test('a voter that was partitioned for long rejoins without an election', async () => {
  const leader = await group.findLeader(0);
  const { term } = await group.enforcement(leader);
  const voter = (leader + 1) % group.vms.length;
  group.isolate(voter);
  await submitAll(leader, 'without-voter', 3);
  const alone = await group.client(voter).outcome('any', expected.version);
  assert.match(alone.val as string, /no quorum/);
  group.heal();
  await group.waitForVersion(voter, expected.version);
  await submit(voter, 'after-cut');
  assert.equal((await group.enforcement(voter)).term, term);
});

test('a VM with a lost disk catches up, and then a second VM can fail', async () => {
  const lost = (await group.findLeader(0) + 1) % group.vms.length;
  await group.vm(lost).stop('SIGKILL');
  group.deleteDataFolder(lost);
  await submitAll(lost + 1, 'disk-lost', 3);
  await group.vm(lost).start();
  await group.waitForVoters(lost);
  const second = lost + 1;
  await group.vm(second).stop('SIGKILL');
  await submitAll(lost, 'second-lost', 3);
  assert.equal((await group.client(lost + 2).configuration()).unwrap().version, expected.version);
  await group.vm(second).start();
  await group.waitForVersion(second, expected.version);
});

test('a declaration is previewed, applied and put in force, and its outcome can be queried', async () => {
  const { folder } = group.vm(0);
  const file = join(folder, 'declaration.toml');
  writeFileSync(file, '[dataCentres.munster-1]\nregion = "munster"\nstate = "out"\n');
  const options = ['--url', `http://${group.vm(0).address('operator')}`, '--token-file', join(folder, 'token')];
  const change = `changes to version ${expected.version}:\n~ /dataCentres/munster-1/state: "in" -> "out"\n`;
  const preview = await runBinary('apply', file, '--dry-run', ...options);
  assert.deepEqual([preview.exitCode, preview.stdout], [0, change]);
  const base = expected.version;
  expected.version += 1;
  const applied = await runBinary('apply', file, '--wait', ...options);
  const confirmation = `accepted as version ${expected.version}\nversion ${expected.version} is in force everywhere\n`;
  assert.deepEqual([applied.exitCode, applied.stdout], [0, `${change}${confirmation}`]);
  const again = await runBinary('apply', file, ...options);
  assert.equal(again.stdout, `no changes: version ${expected.version} is as declared\n`);
  const outcomes = await Promise.all([base, expected.version].map(async (from) => (
    (await runBinary('outcome', 'another', '--base', String(from), ...options)).stdout
  )));
  assert.match(outcomes[0] ?? '', /^never will be accepted/);
  assert.match(outcomes[1] ?? '', /^not yet decided/);
});
