import assert from 'node:assert/strict';
import { test } from 'node:test';

import type LogEntry from '../src/consensus/LogEntry';
import selectEntries from '../src/consensus/selectEntries';

const MAX_BYTES = 64 * 1024 * 1024;

function createEntry(index: number, sourceBytes: number): LogEntry {
  const declaration = {
    version: index,
    routes: {},
    services: {},
    limits: {
      maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
    },
    source: 'x'.repeat(sourceBytes),
  };
  return { index, term: 1, command: { kind: 'registry', change: { kind: 'declare', declaration } } };
}

// Guards against a replica that never catches up, as the entries it lacks exceed a frame.
test('many large configurations are sent in several appends, in order', () => {
  const log = Array.from({ length: 80 }, (_, index) => createEntry(index + 1, 1_200_000));
  const received: number[] = [];
  while (received.length < log.length) {
    const entries = selectEntries(log, received.length);
    assert.ok(entries.length > 0);
    assert.ok(JSON.stringify(entries).length < MAX_BYTES);
    received.push(...entries.map(({ index }) => index));
  }
  assert.deepEqual(received, log.map(({ index }) => index));
});

test('an append holds at most 64 small entries, and a single large one', () => {
  const small = Array.from({ length: 80 }, (_, index) => createEntry(index + 1, 10));
  assert.equal(selectEntries(small, 0).length, 64);
  assert.equal(selectEntries([createEntry(1, 8_000_000), ...small], 0).length, 1);
  assert.deepEqual(selectEntries(small, 80), []);
});
