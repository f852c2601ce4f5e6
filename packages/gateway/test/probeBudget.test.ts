import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createLogger } from 'bunyan';

import EntryShareTracker from '@guavayard/core/placement/EntryShareTracker';

import type TargetPool from '../src/TargetPool';
import TargetProber from '../src/TargetProber';
import FakeSender from './support/FakeSender';
import PlainDialect from './support/PlainDialect';

const TARGETS = 30;
const PROBES_PER_SECOND = 10;

/** @returns the probes that an entry may send at once */
function countProbes(share: EntryShareTracker): number {
  const pool = { share, targetCount: TARGETS } as unknown as TargetPool;
  const prober = new TargetProber({
    clock: () => 0,
    log: createLogger({ name: 'test', streams: [] }),
    sender: new FakeSender([]),
    dialect: new PlainDialect(),
    pool,
    probesPerSecond: PROBES_PER_SECOND,
  });
  return prober.giveUp(Infinity);
}

// Guards against entries that each use the whole limit on probes before the first roster.
test('as many entries as targets keep the limit on probes without a roster', () => {
  const probes = countProbes(new EntryShareTracker(10_000));
  assert.ok(probes > 0 && probes * TARGETS <= PROBES_PER_SECOND * TARGETS, `${probes} probes`);
});

test('entries of the roster divide the limit on probes', () => {
  const share = new EntryShareTracker(10_000);
  share.recordCount(5, 0);
  const probes = countProbes(share);
  assert.ok(probes > 0 && probes * 5 <= PROBES_PER_SECOND * TARGETS, `${probes} probes`);
});
