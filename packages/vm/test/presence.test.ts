import assert from 'node:assert/strict';
import { test } from 'node:test';

import PresenceTable from '../src/registry/PresenceTable';
import type VmLocation from '../src/registry/VmLocation';

function createEntry(name: string): VmLocation {
  return {
    name, address: `${name}:7000`, region: 'munster', dataCentre: 'cork',
  };
}

test('a new leader counts the entries of the last roster until they time out', () => {
  let nowMs = 0;
  const table = new PresenceTable(() => nowMs, 5000);
  const entries = ['10.0.0.1', '10.0.0.2', '10.0.0.3'].map(createEntry);
  table.reset(entries);
  table.recordContact([], entries.slice(0, 1));
  assert.equal(table.entries.length, 3);
  nowMs = 2000;
  table.recordContact([], entries.slice(0, 2));
  nowMs = 4000;
  assert.deepEqual(table.entries.map(({ name }) => name), ['10.0.0.1', '10.0.0.2']);
});
