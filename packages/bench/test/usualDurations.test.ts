import assert from 'node:assert/strict';
import { test } from 'node:test';

import UsualDurations from '../src/UsualDurations';

// Guards against a delay that is learnt slowly: a percentile needed 64 responses, a mean needs 8.
test('a hedge is due after 1.5 times the usual duration of the service', () => {
  const durations = new UsualDurations();
  assert.equal(durations.hedgeDelayMs('listing', 900), 450);
  for (let index = 0; index < 8; index += 1) durations.record('listing', 40);
  assert.equal(Math.round(durations.hedgeDelayMs('listing', 900)), 60);
  assert.equal(durations.hedgeDelayMs('other', 900), 450);
});
