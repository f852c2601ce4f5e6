import assert from 'node:assert/strict';
import { test } from 'node:test';

import SchedulerRig from './support/SchedulerRig';

const COLD = { state: 'cold', owner: 'entry-1' } as const;

test('the owner sends one request at a time to a cold target', () => {
  const rig = new SchedulerRig('entry-1');
  rig.addTarget('a', COLD);
  rig.assign();
  assert.deepEqual(rig.schedule(), []);
});

test('other entries relay attempts for a cold target to its owner', () => {
  const rig = new SchedulerRig('entry-2');
  rig.addTarget('a', COLD);
  assert.equal(rig.assign().relayTo, 'entry-1');
});

test('other entries send to warm targets and not to the cold one', () => {
  const rig = new SchedulerRig('entry-2');
  rig.addTarget('a', COLD);
  rig.addTarget('b');
  const assignments = [rig.assign(), rig.assign()];
  assert.deepEqual(assignments.map(({ target, relayTo }) => [target.id, relayTo]), [
    ['b', undefined], ['b', undefined],
  ]);
  assert.deepEqual(rig.schedule(), []);
});

test('no entry sends to a cold target without an owner', () => {
  const rig = new SchedulerRig('entry-1');
  rig.addTarget('a', { state: 'cold', owner: undefined });
  assert.deepEqual(rig.schedule(), []);
});

test('successful responses with steady latency raise the limit of a cold target until it is warm', () => {
  const rig = new SchedulerRig('entry-1');
  rig.addTarget('a', COLD);
  for (let index = 0; index < 200; index += 1) rig.run(10);
  assert.deepEqual(rig.warm, ['a']);
  assert.equal([rig.assign(), rig.assign()].length, 2);
});

test('responses slower than those of warm targets do not raise the limit of a cold target', () => {
  const rig = new SchedulerRig('entry-1');
  rig.addTarget('b');
  for (let index = 0; index < 100; index += 1) rig.run(10);
  rig.candidates = [];
  rig.addTarget('a', COLD);
  for (let index = 0; index < 100; index += 1) rig.run(90);
  assert.deepEqual(rig.warm, []);
  rig.assign();
  assert.deepEqual(rig.schedule(), []);
});

test('a failure makes a cold target back off', () => {
  const rig = new SchedulerRig('entry-1');
  rig.addTarget('a', COLD);
  rig.run(10, { evidence: 'failed', status: undefined });
  const waiting = rig.schedule();
  assert.deepEqual(waiting, []);
  rig.nowMs += 200;
  rig.scheduler.tick();
  assert.equal(waiting.length, 1);
});

test('single fast responses among slow ones do not raise the limit of a cold target', () => {
  const rig = new SchedulerRig('entry-1');
  rig.addTarget('b');
  for (let index = 0; index < 100; index += 1) rig.run(10);
  rig.candidates = [];
  rig.addTarget('a', COLD);
  for (let index = 0; index < 100; index += 1) rig.run(index % 2 === 0 ? 60 : 10);
  rig.assign();
  assert.deepEqual(rig.schedule(), []);
});

test('a cancelled request keeps its slot at a cold target for a while', () => {
  const rig = new SchedulerRig('entry-1');
  rig.addTarget('a', COLD);
  rig.run(5, { evidence: 'cancelled', status: undefined });
  const waiting = rig.schedule();
  assert.deepEqual(waiting, []);
  rig.nowMs += 20;
  rig.scheduler.tick();
  assert.equal(waiting.length, 1);
});
