import assert from 'node:assert/strict';
import { test } from 'node:test';

import estimateRestWait from '../src/rest/estimateRestWait';
import grantRest from '../src/rest/grantRest';
import isResting from '../src/rest/isResting';
import mayReturn from '../src/rest/mayReturn';
import restLimits from '../src/rest/restLimits';
import createTarget from './support/createTarget';

test('a target is left alone for the time that it asks for, and a little longer', () => {
  const target = createTarget('t-1');
  grantRest(target, 6000, 0.5, 1000);
  assert.equal(isResting(target, 6999), true);
  assert.equal(isResting(target, 7299), true);
  assert.equal(isResting(target, 7301), false);
});

test('a shorter time that it asks for later does not end a longer one', () => {
  const target = createTarget('t-1');
  grantRest(target, 6000, 0, 0);
  grantRest(target, 1000, 0, 100);
  assert.equal(isResting(target, 5999), true);
});

test('no time keeps a target away for ever', () => {
  const target = createTarget('t-1');
  grantRest(target, 1e15, 1, 0);
  assert.equal(isResting(target, restLimits.maxRestMs + restLimits.maxSpreadMs), false);
});

test('a target that returns gets one request until it has served it', () => {
  const target = createTarget('t-1');
  grantRest(target, 1000, 0, 0);
  assert.equal(mayReturn(target, 1000), true);
  target.inFlight.add({ sentAtMs: 1000 });
  assert.equal(mayReturn(target, 1001), false);
  target.rest = undefined;
  assert.equal(mayReturn(target, 1002), true);
});

test('callers are told the end of the rest that leaves room for them', () => {
  const targets = [3000, 1000, 2000].map((ms) => {
    const target = createTarget('t-1');
    grantRest(target, ms, 0, 0);
    return target;
  });
  const waits = [0, 1, 2, 7].map((before) => estimateRestWait(targets, before, 0));
  assert.deepEqual(waits, [1000, 2000, 3000, 3000]);
  assert.equal(estimateRestWait([createTarget('t-1')], 0, 0), undefined);
});
