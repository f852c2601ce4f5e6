import assert from 'node:assert/strict';
import { test } from 'node:test';

import createPlacedTarget from '../src/placement/createPlacedTarget';
import type PlacedTarget from '../src/placement/PlacedTarget';
import selectCandidates from '../src/placement/selectCandidates';

const ENTRIES = 48;
const TARGETS = 40;
const COUNT = 8;

function createTargets(entryName: string): PlacedTarget[] {
  return Array.from({ length: TARGETS }, (_, index) => createPlacedTarget({
    id: `i-${index}`,
    service: 'lots',
    address: `10.0.0.${index}:80`,
    dataCentre: 'quay',
    slots: 2,
    state: 'ready',
    bornAtMs: 1,
    sequence: 1,
    coldLeftMs: 0,
  }, 'near', entryName));
}

function selectIds(targets: readonly PlacedTarget[], failedRounds: number): string[] {
  return selectCandidates(targets, COUNT, failedRounds).map(({ record }) => record.id);
}

test('each of many entries probes a few targets, and together they cover all', () => {
  const uses = new Map<string, number>();
  for (let index = 0; index < ENTRIES; index += 1) {
    const ids = selectIds(createTargets(`entry-${index}`), 0);
    assert.equal(ids.length, COUNT);
    ids.forEach((id) => uses.set(id, (uses.get(id) ?? 0) + 1));
  }
  assert.equal(uses.size, TARGETS);
});

test('the first round of an entry stays stable when other targets come and go', () => {
  const targets = createTargets('entry-1');
  const ids = selectIds(targets, 0);
  const others = targets.filter(({ record }) => !ids.includes(record.id));
  const fewer = targets.filter((target) => target !== others[0]).reverse();
  assert.deepEqual(selectIds(fewer, 0), ids);
});

test('rounds without a free slot widen the candidates to all targets', () => {
  const targets = createTargets('entry-1');
  const widths = [0, 1, 2, 3, 4, 5].map((rounds) => selectIds(targets, rounds).length);
  assert.deepEqual(widths, [8, 16, 24, 32, 40, 40]);
});

test('a target with a request of this entry is probed only if there are few others', () => {
  const targets = createTargets('entry-1');
  const first = selectCandidates(targets, COUNT, 0);
  first.slice(0, 4).forEach(({ inFlight }) => inFlight.add({ sentAtMs: 0 }));
  const idleIds = first.slice(4).map(({ record }) => record.id);
  assert.deepEqual(selectIds(targets, 0), idleIds);
  assert.equal(selectIds(targets, 1).length, 2 * COUNT);
  first[4]?.inFlight.add({ sentAtMs: 0 });
  assert.equal(selectIds(targets, 0).length, COUNT);
});
