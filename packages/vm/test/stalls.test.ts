import assert from 'node:assert/strict';
import { test } from 'node:test';

import createRandom from '@guavayard/core/utils/createRandom';

import SimulatedClock from './support/simulation/SimulatedClock';
import SimulatedGroup from './support/simulation/SimulatedGroup';

const SEED = Number(process.env.SEED ?? 20_261_207);
const RUNS = Number(process.env.RUNS ?? 10);
const SIZE = 5;
const FIRST_START_MS = 3000;
/** Time for which a process stands still: less than makes its sessions close, in milliseconds. */
const MIN_STALL_MS = 800;
const MAX_STALL_MS = 1500;
const SETTLE_MS = 1000;

/** @returns the lines of followers that have changed their leader after a stall */
async function stallFollowers(group: SimulatedGroup): Promise<string[]> {
  await group.run(FIRST_START_MS);
  const from = group.lines.length;
  const followers = group.vms.filter(({ task }) => !task.isLeader);
  for (let index = 0; index < followers.length; index += 1) {
    const vm = followers[index];
    if (vm !== undefined) vm.host.isFrozen = true;
    /* eslint-disable no-await-in-loop -- one after the other */
    await group.run(MIN_STALL_MS + group.random() * (MAX_STALL_MS - MIN_STALL_MS));
    vm?.host.thaw();
    await group.run(SETTLE_MS);
    /* eslint-enable no-await-in-loop */
  }
  return group.lines.slice(from).filter((line) => line.includes(' leader changed '));
}

// Guards against followers that leave their leader, as a timer fires before its messages are read.
test('a follower that has stood still reads its messages before it stands for election', async () => {
  const changes: string[] = [];
  for (let seed = SEED; seed < SEED + RUNS; seed += 1) {
    const clock = new SimulatedClock();
    clock.install();
    try {
      // eslint-disable-next-line no-await-in-loop -- the clock of the process is replaced
      changes.push(...await stallFollowers(new SimulatedGroup(SIZE, clock, createRandom(seed))));
    } finally {
      clock.uninstall();
    }
  }
  assert.deepEqual(changes, []);
});
