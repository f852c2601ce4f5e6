import assert from 'node:assert/strict';
import { test } from 'node:test';

import createRandom from '../src/utils/createRandom';
import runRolloutModel from './support/RolloutModel';

type Model = Parameters<typeof runRolloutModel>[0];
type Request = Parameters<Model['respond']>[0];

/** A change of the responses of a modelled target. */
interface Change {
  readonly failedShare?: number;
  readonly slowness?: number;
}

const PLAYS = 60;
const USUAL_FAILED_SHARE = 0.002;
/** Share of the responses that a target at its usual speed gives slowly, and how slow they are. */
const SLOW_SHARE = 0.06;
const SLOWNESS = 5;
const WORK_MS = 500;

/** Plays roll-outs of a service of 250 requests per second, and counts how they end. */
function play(
  change: (request: Request, chance: number) => Change,
  requestsPerSecond = 250,
): { rolledBack: number; switched: number; latestMs: number; mostBad: number } {
  const result = {
    rolledBack: 0, switched: 0, latestMs: 0, mostBad: 0,
  };
  for (let seed = 1; seed <= PLAYS; seed += 1) {
    const random = createRandom(seed);
    const outcome = runRolloutModel({
      durationMs: 14_000,
      requestsPerSecond,
      routes: ['a', 'b'],
      random,
      respond: (request) => {
        const { failedShare = 0, slowness = 1 } = change(request, random());
        const speed = Math.max(slowness, random() < SLOW_SHARE ? SLOWNESS : 1);
        return {
          hasFailed: random() < USUAL_FAILED_SHARE + failedShare,
          latencyMs: 16 + WORK_MS * (0.85 + 0.3 * random()) * speed,
        };
      },
    });
    if (outcome.kind === 'switched') result.switched += 1;
    else result.rolledBack += 1;
    if (outcome.kind === 'rolled back') result.latestMs = Math.max(result.latestMs, outcome.atMs);
    result.mostBad = Math.max(result.mostBad, outcome.badCount);
  }
  return result;
}

const isBetween = ({ atMs }: Request, fromMs: number, toMs: number): boolean => (
  atMs >= fromMs && atMs < toMs);

// Guards against a good version that is taken back, at most one in 30: the error rate that
// docs/design/rollouts.md states.
[
  { name: 'the same as before', change: () => ({}) },
  {
    name: 'in a data centre that is slow for a time',
    change: (request: Request) => ({
      slowness: request.dataCentre === 'a' && isBetween(request, 3000, 7000) ? 4 : 1,
    }),
  },
  {
    name: 'in a data centre whose targets fail for a time',
    change: (request: Request) => ({
      failedShare: request.dataCentre === 'a' && isBetween(request, 3000, 6000) ? 0.7 : 0,
    }),
  },
  {
    name: 'while some of all responses fail',
    change: (request: Request) => ({ failedShare: isBetween(request, 3000, 9000) ? 0.1 : 0 }),
  },
].forEach(({ name, change }) => {
  test(`a good version is not taken back: ${name}`, () => {
    assert.ok(play(change).switched >= PLAYS - 2);
  });
});

// Guards against a bad version that gets all requests, at most one in 30.
[
  {
    name: 'a fifth of its responses fail',
    change: ({ isTargetVersion }: Request) => ({ failedShare: isTargetVersion ? 0.2 : 0 }),
    latestMs: 13_000,
  },
  {
    name: 'a fifth of its responses fail after a time',
    change: ({ isTargetVersion, atMs }: Request) => ({
      failedShare: isTargetVersion && atMs > 6000 ? 0.2 : 0,
    }),
    latestMs: 14_000,
  },
  {
    name: 'it is four times slower',
    change: ({ isTargetVersion }: Request) => ({ slowness: isTargetVersion ? 4 : 1 }),
    latestMs: 6000,
  },
  {
    name: 'a third of its responses are four times slower',
    change: ({ isTargetVersion }: Request, chance: number) => ({
      slowness: isTargetVersion && chance < 0.33 ? 4 : 1,
    }),
    latestMs: 14_000,
  },
  {
    name: 'it is four times slower after a time',
    change: ({ isTargetVersion, atMs }: Request) => ({
      slowness: isTargetVersion && atMs > 6000 ? 4 : 1,
    }),
    latestMs: 12_000,
  },
  {
    name: 'two fifths of the responses of one route fail',
    change: ({ isTargetVersion, route }: Request) => ({
      failedShare: isTargetVersion && route === 'a' ? 0.4 : 0,
    }),
    latestMs: 9000,
  },
].forEach(({ name, change, latestMs }) => {
  test(`a bad version is taken back: ${name}`, () => {
    const result = play(change);
    assert.ok(result.rolledBack >= PLAYS - 2);
    assert.ok(result.latestMs <= latestMs, `${result.latestMs} ms`);
    assert.ok(result.mostBad < 50, `${result.mostBad} bad responses`);
  });
});

// Guards against a judgement on a few responses, of which one that fails is chance.
test('a good version of a service with few requests is not taken back', () => {
  assert.ok(play(() => ({}), 31).switched >= PLAYS - 2);
});
