import assert from 'node:assert/strict';
import { test } from 'node:test';

import createConsensusState from '../src/consensus/createConsensusState';
import createDurableState from '../src/consensus/createDurableState';
import isCompactionDue from '../src/consensus/isCompactionDue';
import type Command from '../src/consensus/Command';

const REPLICA = 'a#00';
const MB = 1024 * 1024;
const NOOP: Command = { kind: 'noop' };

function declare(bytes: number): Command {
  return {
    kind: 'registry',
    change: {
      kind: 'declare',
      declaration: {
        version: 1,
        routes: {},
        services: {},
        limits: {
          maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
        },
        source: ' '.repeat(bytes),
      },
    },
  };
}

// Guards against memory that grows with the size of changes, as only their number was counted.
[
  {
    name: 'no entries', commands: Array<Command>(0), committed: 0, expected: false,
  },
  {
    name: 'few small entries', commands: [declare(100), NOOP], committed: 2, expected: false,
  },
  {
    name: 'many small entries', commands: Array<Command>(256).fill(NOOP), committed: 256, expected: true,
  },
  {
    name: 'few large entries', commands: Array<Command>(6).fill(declare(MB)), committed: 6, expected: true,
  },
  {
    name: 'large entries that are not committed', commands: Array<Command>(6).fill(declare(MB)), committed: 1, expected: false,
  },
].forEach(({
  name, commands, committed, expected,
}) => {
  test(`a log with ${name} is ${expected ? '' : 'not '}compacted`, () => {
    const state = createConsensusState(REPLICA, createDurableState([REPLICA]), 0, () => 0);
    state.log = commands
      .map((command: Command, position) => ({ index: position + 1, term: 1, command }));
    state.commitIndex = committed;
    assert.equal(isCompactionDue(state), expected);
  });
});
