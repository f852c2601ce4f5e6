import { test } from 'node:test';

import createRandom from '@guavayard/core/utils/createRandom';
import fc from 'fast-check';

import SessionModel from './support/simulation/SessionModel';
import SimulatedClock from './support/simulation/SimulatedClock';

const SEED = Number(process.env.SEED ?? 20_261_206);
const RUNS = Number(process.env.RUNS ?? 100);
const NAMES = ['a', 'b', 'c'];

type Action = (model: SessionModel) => Promise<void> | void;

const vm = fc.nat(NAMES.length - 1);
const other = fc.nat(NAMES.length - 2);
const choice = fc.nat(1000);

function weigh<Args extends unknown[]>(
  weight: number,
  name: string,
  args: fc.Arbitrary<Args>,
  run: (model: SessionModel, ...values: Args) => Promise<void> | void,
): fc.WeightedArbitrary<Action> {
  return {
    weight,
    arbitrary: args.map((values) => Object.assign(
      async (model: SessionModel) => run(model, ...values),
      { [fc.toStringMethod]: () => `${name}(${values.join(', ')})` },
    )),
  };
}

const action = fc.oneof(
  weigh(6, 'connect', fc.tuple(vm, other), (model, from, to) => model.connect(from, to)),
  weigh(3, 'disconnect', fc.tuple(vm, other), (model, from, to) => model.disconnect(from, to)),
  weigh(2, 'reopen', fc.tuple(vm, other), (model, from, to) => model.reopen(from, to)),
  weigh(
    3,
    'restart',
    fc.tuple(vm, fc.constantFrom('kill', 'power', 'drain'), fc.nat(3000)),
    (model, index, way, drainMs) => model.restart(index, way, drainMs),
  ),
  weigh(2, 'close', fc.tuple(choice), (model, index) => model.close(index)),
  weigh(2, 'hang', fc.tuple(choice, fc.boolean()), (model, index, isBoth) => model.hang(index, isBoth)),
  weigh(1, 'refuse', fc.tuple(vm, fc.boolean()), (model, index, isOn) => model.refuse(index, isOn)),
  weigh(8, 'run', fc.tuple(fc.constantFrom(5, 30, 100, 600, 2500)), async (model, ms) => model.run(ms)),
  weigh(1, 'checkSettled', fc.tuple(), async (model) => model.checkSettled()),
);

async function play(seed: number, actions: readonly Action[]): Promise<void> {
  const clock = new SimulatedClock();
  clock.install();
  try {
    const model = new SessionModel(NAMES, clock, createRandom(seed));
    for (let index = 0; index < actions.length; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- one action after the other
      await actions[index]?.(model);
    }
    await model.checkSettled();
    await model.checkEnd();
  } finally {
    clock.uninstall();
  }
}

test('a VM can be sent to exactly while a session with it is open, whatever sessions go through', async () => {
  await fc.assert(fc.asyncProperty(
    fc.integer(),
    fc.array(action, { maxLength: 30, size: 'max' }),
    play,
  ), { seed: SEED, numRuns: RUNS });
});
