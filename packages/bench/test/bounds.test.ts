import assert from 'node:assert/strict';
import { test } from 'node:test';

import checkSteadyBounds from '../src/checkSteadyBounds';
import runFaults from '../src/runFaults';
import runSteady from '../src/runSteady';

const SEED = 1;
/** Virtual duration of each run without faults, in milliseconds. */
const DURATION_MS = 1000;

const checks = [...checkSteadyBounds(runSteady(DURATION_MS, SEED)), ...runFaults(SEED).checks];

checks.forEach(({ name, measured, limit }) => {
  test(`bench, seed ${SEED}: ${name}`, () => {
    assert.ok(measured <= limit, `${measured} is over ${limit}`);
  });
});
