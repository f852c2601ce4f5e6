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

function selectIds(targets: readonly PlacedTarget[], looks: number): string[] {
  return selectCandidates(targets, COUNT, looks).map(({ record }) => record.id);
}

test('many entries before many targets: each keeps to a few, and all targets are used', () => {
  const uses = new Map<string, number>();
  for (let index = 0; index < ENTRIES; index += 1) {
    const ids = selectIds(createTargets(`entry-${index}`), 0);
    assert.equal(ids.length, COUNT);
    ids.forEach((id) => uses.set(id, (uses.get(id) ?? 0) + 1));
  }
  assert.equal(uses.size, TARGETS);
});

test('the first look of an entry asks the same targets whatever else comes and goes', () => {
  const targets = createTargets('entry-1');
  const ids = selectIds(targets, 0);
  const others = targets.filter(({ record }) => !ids.includes(record.id));
  const fewer = targets.filter((target) => target !== others[0]).reverse();
  assert.deepEqual(selectIds(fewer, 0), ids);
});

test('looks that found no free slot widen the choice to all targets', () => {
  const targets = createTargets('entry-1');
  const widths = [0, 1, 2, 3, 4, 5].map((looks) => selectIds(targets, looks).length);
  assert.deepEqual(widths, [8, 16, 24, 32, 40, 40]);
});

test('a target that holds a request of this entry is asked only if there are few others', () => {
  const targets = createTargets('entry-1');
  const first = selectCandidates(targets, COUNT, 0);
  first.slice(0, 4).forEach(({ inFlight }) => inFlight.add({ sentAtMs: 0 }));
  const idleIds = first.slice(4).map(({ record }) => record.id);
  assert.deepEqual(selectIds(targets, 0), idleIds);
  assert.equal(selectIds(targets, 1).length, 2 * COUNT);
  first[4]?.inFlight.add({ sentAtMs: 0 });
  assert.equal(selectIds(targets, 0).length, COUNT);
});
