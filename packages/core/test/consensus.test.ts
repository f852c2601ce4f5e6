import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import createRandom from './support/createRandom';
import GroupModel from './support/GroupModel';
import type ModelOptions from './support/ModelOptions';

const SEED = Number(process.env.SEED ?? 20_261_204);
const RUNS = Number(process.env.RUNS ?? 200);
/** Schedules among which one shows a rare fault. */
const RARE_RUNS = 20 * RUNS;
const MIN_ACTIONS = 100;
const MAX_ACTIONS = 300;

const groupSize = fc.constantFrom<number>(3, 5);
const vmIndex = fc.nat(4);
const choice = fc.nat(1000);
const syncedWrites = fc.nat(2);
const delivery = fc.constantFrom('deliver', 'deliver', 'deliver', 'deliver', 'drop', 'copy');

type Action = (group: GroupModel) => void;

const actions: fc.WeightedArbitrary<Action>[] = [
  {
    weight: 24,
    arbitrary: fc.tuple(choice, delivery)
      .map(([index, kind]) => (group: GroupModel) => group.deliver(index, kind)),
  },
  // Mostly the oldest packet is delivered first; otherwise the group would hardly ever reach
  // consensus.
  { weight: 40, arbitrary: fc.constant((group: GroupModel) => group.deliver(0, 'deliver')) },
  {
    weight: 12,
    arbitrary: fc.tuple(vmIndex, fc.constantFrom(50, 250, 2000))
      .map(([index, passedMs]) => (group: GroupModel) => group.tick(index, passedMs)),
  },
  {
    weight: 3,
    arbitrary: fc.nat(40).map((rounds) => (group: GroupModel) => group.runWithoutFaults(rounds)),
  },
  { weight: 8, arbitrary: vmIndex.map((index) => (group: GroupModel) => group.propose(index)) },
  { weight: 1, arbitrary: vmIndex.map((index) => (group: GroupModel) => group.compact(index)) },
  {
    weight: 2,
    arbitrary: fc.tuple(vmIndex, syncedWrites)
      .map(([index, kept]) => (group: GroupModel) => group.crash(index, kept)),
  },
  {
    weight: 2,
    arbitrary: fc.tuple(choice, syncedWrites)
      .map(([index, kept]) => (group: GroupModel) => group.crashOnPacket(index, kept)),
  },
  { weight: 1, arbitrary: vmIndex.map((index) => (group: GroupModel) => group.loseDisk(index)) },
];
const sync: fc.WeightedArbitrary<Action> = {
  weight: 12, arbitrary: vmIndex.map((index) => (group: GroupModel) => group.sync(index)),
};

let acceptedPatches = 0;

function checkSchedules(
  options: ModelOptions,
  runs = RUNS,
): fc.RunDetails<[number, number, Action[]]> {
  const action = fc.oneof(...actions, ...(options.syncsLate === true ? [sync] : []));
  const schedule = fc.array(action, {
    minLength: MIN_ACTIONS, maxLength: MAX_ACTIONS, size: 'max',
  });
  return fc.check(fc.property(groupSize, fc.nat(), schedule, (vms, seed, chosen) => {
    const group = new GroupModel(vms, createRandom(seed), options);
    chosen.forEach((run) => run(group));
    acceptedPatches += group.acceptedCount;
    const { losesVotes, sendsUnsynced, countsUnsynced } = options;
    if (![losesVotes, sendsUnsynced, countsUnsynced].includes(true)) group.heal();
  }), { seed: SEED, numRuns: runs, endOnFailure: true });
}

test('no schedule loses an accepted patch or accepts two patches as one version', (t) => {
  const details = checkSchedules({});
  t.diagnostic(`seed ${SEED}, ${details.numRuns} schedules, ${acceptedPatches} accepted patches`);
  assert.equal(details.failed, false, String(details.errorInstance));
});

test('the schedules detect votes that are not synced', () => {
  const details = checkSchedules({ losesVotes: true });
  assert.match(String(details.errorInstance), /lead in term|version \d+ is|committed entry/);
});

test('no schedule loses an accepted patch while replicas process events during writes', (t) => {
  const details = checkSchedules({ syncsLate: true });
  t.diagnostic(`seed ${SEED}, ${details.numRuns} schedules, ${acceptedPatches} accepted patches`);
  assert.equal(details.failed, false, String(details.errorInstance));
});

test('the schedules detect effects that do not wait for their writes', () => {
  const details = checkSchedules({ syncsLate: true, sendsUnsynced: true });
  assert.match(String(details.errorInstance), /lead in term|version \d+ is|committed entry/);
});

test('the schedules detect leaders that count their entries before they are synced', () => {
  const details = checkSchedules({ syncsLate: true, countsUnsynced: true }, RARE_RUNS);
  assert.match(String(details.errorInstance), /lead in term|version \d+ is|committed entry/);
});
