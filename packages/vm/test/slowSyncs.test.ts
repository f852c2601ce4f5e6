import assert from 'node:assert/strict';
import { test } from 'node:test';

import type Random from '@guavayard/core/types/Random';
import createRandom from '@guavayard/core/utils/createRandom';

import SimulatedClock from './support/simulation/SimulatedClock';
import type SimulatedControl from './support/simulation/SimulatedControl';
import SimulatedGroup from './support/simulation/SimulatedGroup';

const SEED = Number(process.env.SEED ?? 20_261_207);
const RUNS = Number(process.env.RUNS ?? 10);
/** Last lines of the logs that are printed of a failed seed. */
const LINES = Number(process.env.LINES ?? 40);
const SIZES = [3, 5];
const FIRST_START_MS = 3000;
/** The platform's `recovery_s` and `ack_s`, in milliseconds. */
const RECOVERY_MS = 15_000;
const ACK_MS = 4000;
const CALM_MS = 30_000;
/** Time after which an operator sends a call to another VM, in milliseconds. */
const RESEND_MS = 1000;
const STEP_MS = 50;
const QUICK_SYNC_MS = 5;

/** Durations of syncs, in milliseconds. */
const disks: Readonly<Record<string, (random: Random) => number>> = {
  '0.7 s': () => 700,
  '1.5 s': () => 1500,
  '0.4 to 1.5 s': (random) => 400 + random() * 1100,
  '0.4 to 1.5 s one time in three': (random) => (
    random() < 1 / 3 ? 400 + random() * 1100 : random() * QUICK_SYNC_MS),
  '0.4 to 1.5 s one time in thirty': (random) => (
    random() < 1 / 30 ? 400 + random() * 1100 : random() * QUICK_SYNC_MS),
};

function fail(group: SimulatedGroup, reason: string): never {
  throw new Error(`${reason} at ${group.nowMs} ms`);
}

/** Sends calls to one VM after the other until one succeeds, as operators do. */
async function callUntil(
  group: SimulatedGroup,
  first: number,
  limitMs: number,
  call: (vm: SimulatedControl) => void,
  isDone: () => boolean,
): Promise<boolean> {
  const startMs = group.nowMs;
  for (let attempt = 0; group.nowMs - startMs < limitMs; attempt += 1) {
    const resendMs = group.nowMs + RESEND_MS;
    call(group.vms[(first + attempt) % group.size] as SimulatedControl);
    while (group.nowMs < resendMs) {
      // eslint-disable-next-line no-await-in-loop -- until the call is done
      await group.run(STEP_MS);
      if (isDone()) return true;
    }
  }
  return false;
}

/** Puts a version in force and reads it back. */
async function changeAndRead(group: SimulatedGroup, first: number, limitMs: number): Promise<void> {
  const version = group.createVersion();
  const declare = (vm: SimulatedControl): void => group.declare(vm, version);
  const isAcknowledged = await callUntil(group, first, limitMs, declare, () => (
    group.acknowledged === version));
  if (!isAcknowledged) fail(group, `version ${version} sent to ${first} is not acknowledged`);
  const sources: (string | undefined)[] = [];
  const isRead = await callUntil(group, first, ACK_MS, (vm) => vm.act(() => {
    vm.task.readDeclaration().then((result) => {
      if (result.ok) sources.push(result.val);
    }, () => undefined);
  }), () => sources.length > 0);
  if (!isRead) fail(group, `version ${version} cannot be read from ${first}`);
  const others = sources.filter((source) => source !== `version ${version}`);
  if (others.length > 0) fail(group, `${others.join()} is read, not version ${version}`);
}

/** Checks that no VM finds or loses a leader while something is done. */
async function keepLeader(group: SimulatedGroup, run: () => Promise<void>): Promise<void> {
  const from = group.lines.length;
  await run();
  const change = group.lines.slice(from).find((line) => line.includes(' leader changed '));
  if (change !== undefined) throw new Error(`the leader is not kept: ${change}`);
}

/** The whole group loses its power; its disks are slow from then on. */
async function play(group: SimulatedGroup, drawSyncMs: (random: Random) => number): Promise<void> {
  await group.run(FIRST_START_MS);
  await group.check();
  Object.assign(group.disks, { drawSyncMs: () => drawSyncMs(group.random), hasMarks: true });
  group.vms.forEach((vm) => vm.stop(false));
  group.vms.forEach((vm) => vm.start(false));
  group.note('all start');
  await changeAndRead(group, 0, RECOVERY_MS);
  await group.run(RECOVERY_MS);
  group.note('calm');
  await keepLeader(group, async () => group.run(CALM_MS));
  for (let index = 0; index < group.size; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- one after the other
    await keepLeader(group, async () => changeAndRead(group, index, ACK_MS));
  }
}

/** @returns why a play failed, with the last lines of the logs; undefined if it did not */
async function findFailure(
  size: number,
  seed: number,
  drawSyncMs: (random: Random) => number,
): Promise<string | undefined> {
  const clock = new SimulatedClock();
  clock.install();
  const group = new SimulatedGroup(size, clock, createRandom(seed));
  try {
    await play(group, drawSyncMs);
    return undefined;
  } catch (err) {
    return `seed ${seed}: ${(err as Error).message}\n${group.lines.slice(-LINES).join('\n')}`;
  } finally {
    clock.uninstall();
  }
}

async function findFailures(drawSyncMs: (random: Random) => number): Promise<string[]> {
  const failures: string[] = [];
  for (let seed = SEED; seed < SEED + RUNS; seed += 1) {
    for (let index = 0; index < SIZES.length; index += 1) {
      const size = SIZES[index] ?? 0;
      // eslint-disable-next-line no-await-in-loop -- the clock of the process is replaced
      const failure = await findFailure(size, seed, drawSyncMs);
      if (failure !== undefined) failures.push(`${size} VMs, ${failure}`);
    }
  }
  return failures;
}

// Guards against a group without a leader, as all are silent while they sync.
Object.entries(disks).forEach(([name, drawSyncMs]) => {
  test(`control VMs whose syncs take ${name} elect a leader and keep it`, async () => {
    const failures = await findFailures(drawSyncMs);
    assert.equal(failures.length, 0, `${failures.length} of ${RUNS * SIZES.length}\n${failures.slice(0, 2).join('\n')}`);
  });
});
