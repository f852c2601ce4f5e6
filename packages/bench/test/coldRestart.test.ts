import assert from 'node:assert/strict';
import { test } from 'node:test';

import ColdRestart from '../src/faults/ColdRestart';
import createGuavayardPolicy from '../src/policies/createGuavayardPolicy';
import profiles from '../src/profiles';
import runPolicy from '../src/runPolicy';

const LOAD = 0.5;
const DURATION_MS = 8000;

[2, 4].forEach((seed) => {
  test(`cold targets stay within their concurrency limit and warm up, seed ${seed}`, () => {
    profiles.forEach((profile) => {
      const cold = new ColdRestart();
      runPolicy(profile, createGuavayardPolicy(), LOAD, DURATION_MS, seed, cold);
      assert.equal(cold.maxColdExcess, 0, profile.name);
      assert.equal(cold.progress.warm, cold.progress.restarted, profile.name);
    });
  });
});
