import assert from 'node:assert/strict';
import { test } from 'node:test';

import createDurableState from '@guavayard/core/consensus/createDurableState';

import LogWriter from '../src/control/LogWriter';

// Guards against damage of synced records that is taken for a torn write while writes go on.
test('a log that is written all the time is marked as synced within seconds', async () => {
  let nowMs = 0;
  const calls: string[] = [];
  const writer = new LogWriter({
    clock: () => nowMs,
    store: {
      append: async () => {
        calls.push('append');
      },
      replace: async () => undefined,
      markSynced: async () => {
        calls.push('mark');
      },
    },
  });
  const state = createDurableState(['a#00']);
  for (let term = 1; term <= 30; term += 1) {
    nowMs += 100;
    // eslint-disable-next-line no-await-in-loop -- writes are sequential
    await writer.write([{ kind: 'vote', term }], state);
    // eslint-disable-next-line no-await-in-loop
    await writer.markIfDue();
  }
  assert.equal(calls.filter((call) => call === 'mark').length, 2);
});

test('slow writes are reported with their number, at most each five seconds', async () => {
  let nowMs = 0;
  let durationMs = 10;
  const reports: unknown[] = [];
  const writer = new LogWriter({
    clock: () => nowMs,
    store: {
      append: async () => {
        nowMs += durationMs;
      },
      replace: async () => undefined,
    },
    onSlowWrites: (slow) => reports.push(slow),
  });
  const state = createDurableState(['a#00']);
  const write = async (takesMs: number): Promise<void> => {
    durationMs = takesMs;
    await writer.write([{ kind: 'vote', term: 1 }], state);
  };
  await write(10);
  await write(900);
  await write(1500);
  await write(4000);
  await write(700);
  assert.deepEqual(reports, [{ count: 1, longestMs: 900 }, { count: 2, longestMs: 4000 }]);
});
