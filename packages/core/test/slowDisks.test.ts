import assert from 'node:assert/strict';
import { test } from 'node:test';

import type ConsensusEffect from '../src/consensus/ConsensusEffect';
import type ConsensusState from '../src/consensus/ConsensusState';
import createConsensusState from '../src/consensus/createConsensusState';
import createDurableState from '../src/consensus/createDurableState';
import findLastIndex from '../src/consensus/findLastIndex';
import findTerm from '../src/consensus/findTerm';
import mustAwaitSync from '../src/consensus/mustAwaitSync';
import step from '../src/consensus/step';

const VOTERS = ['a#0', 'b#0', 'c#0'];
const SYNC_MS = 1500;
/** Time after which a voter without a leader stands for election, in milliseconds. */
const TIMEOUT_MS = 1300;

function createReplica(): ConsensusState {
  const state = createConsensusState('a#0', createDurableState(VOTERS), 0, () => 0.5);
  state.syncsLate = true;
  return state;
}

function sync(state: ConsensusState, nowMs: number, votes: number): ConsensusEffect[] {
  const lastIndex = findLastIndex(state);
  return step(state, {
    kind: 'synced', nowMs, lastIndex, lastTerm: findTerm(state, lastIndex), votes, durationMs: SYNC_MS,
  });
}

function stand(state: ConsensusState): void {
  step(state, { kind: 'tick', nowMs: TIMEOUT_MS });
  step(state, {
    kind: 'message', from: 'b#0', message: { kind: 'preVoteAnswer', term: 1, isGranted: true },
  });
}

function lead(state: ConsensusState): ConsensusEffect[] {
  stand(state);
  sync(state, TIMEOUT_MS + SYNC_MS, 1);
  return step(state, {
    kind: 'message', from: 'b#0', message: { kind: 'voteAnswer', term: 1, isGranted: true },
  });
}

function append(state: ConsensusState, entries: number): ConsensusEffect[] {
  return step(state, {
    kind: 'message',
    from: 'b#0',
    message: {
      kind: 'append',
      term: 1,
      previousIndex: 0,
      previousTerm: 0,
      entries: Array.from({ length: entries }, (_value, index) => ({
        index: index + 1, term: 1, command: { kind: 'noop' },
      })),
      commitIndex: 0,
      round: 1,
    },
  });
}

function kindsOf(effects: readonly ConsensusEffect[]): string[] {
  return effects.map((effect) => (effect.kind === 'send' ? effect.message.kind : effect.kind));
}

test('a candidate requests votes only once its own is synced, and again if none arrives', () => {
  const state = createReplica();
  stand(state);
  assert.equal(mustAwaitSync(state, { kind: 'leader', leader: undefined }), true);
  assert.deepEqual(kindsOf(step(state, { kind: 'tick', nowMs: TIMEOUT_MS + SYNC_MS })), []);
  sync(state, TIMEOUT_MS + SYNC_MS, 1);
  const effects = step(state, { kind: 'tick', nowMs: TIMEOUT_MS + SYNC_MS + 600 });
  assert.deepEqual(kindsOf(effects), ['voteRequest', 'voteRequest']);
});

test('a slow sync of a vote delays the next election by the syncs of the others', () => {
  const state = createReplica();
  stand(state);
  sync(state, TIMEOUT_MS + SYNC_MS, 1);
  step(state, { kind: 'tick', nowMs: TIMEOUT_MS + 3 * SYNC_MS + 600 });
  assert.equal(state.role, 'candidate');
});

test('a leader sends its entries before they are synced, and counts itself after', () => {
  const state = createReplica();
  const effects = lead(state);
  const sends = effects.filter(({ kind }) => kind === 'send');
  assert.deepEqual(kindsOf(sends), ['append', 'append']);
  assert.deepEqual(sends.map((effect) => mustAwaitSync(state, effect)), [false, false]);
  step(state, {
    kind: 'message',
    from: 'b#0',
    message: {
      kind: 'appendAnswer', term: 1, isAccepted: true, matchIndex: 1, round: 1,
    },
  });
  assert.equal(state.commitIndex, 0);
  sync(state, TIMEOUT_MS + 2 * SYNC_MS, 0);
  assert.equal(state.commitIndex, 1);
});

test('a follower answers heartbeats during a write, and new entries after it', () => {
  const state = createReplica();
  append(state, 0);
  sync(state, SYNC_MS, 1);
  const answers = append(state, 1).filter(({ kind }) => kind === 'send');
  assert.deepEqual(answers.map((effect) => mustAwaitSync(state, effect)), [true]);
  const [heartbeat] = append(state, 1) as [ConsensusEffect & { kind: 'send' }];
  assert.equal(mustAwaitSync(state, heartbeat), false);
  assert.equal(heartbeat.message.kind === 'appendAnswer' && heartbeat.message.matchIndex, 0);
});

test('a write does not sync the entries that have taken the place of its own', () => {
  const state = createReplica();
  append(state, 0);
  sync(state, SYNC_MS, 1);
  append(state, 2);
  step(state, {
    kind: 'message',
    from: 'c#0',
    message: {
      kind: 'append',
      term: 2,
      previousIndex: 0,
      previousTerm: 0,
      entries: [{ index: 1, term: 2, command: { kind: 'noop' } }, { index: 2, term: 2, command: { kind: 'noop' } }],
      commitIndex: 0,
      round: 1,
    },
  });
  step(state, {
    kind: 'synced', nowMs: SYNC_MS, lastIndex: 2, lastTerm: 1, votes: 0, durationMs: SYNC_MS,
  });
  assert.equal(state.syncedIndex, 0);
});

test('a follower that syncs a new term applies what it hears, and answers nothing', () => {
  const state = createReplica();
  append(state, 1);
  const effects = step(state, {
    kind: 'message',
    from: 'b#0',
    message: {
      kind: 'append', term: 1, previousIndex: 1, previousTerm: 1, entries: [], commitIndex: 1, round: 2,
    },
  });
  assert.deepEqual(kindsOf(effects), ['commit', 'appendAnswer']);
  assert.deepEqual(effects.map((effect) => mustAwaitSync(state, effect)), [false, true]);
});

// Guards against elections in which all candidates sync votes for themselves.
test('of two candidates on slow disks that meet, one waits for the other', () => {
  const receive = (self: string, from: string): ConsensusState => {
    const state = createConsensusState(self, createDurableState(VOTERS), 0, () => 0.5);
    Object.assign(state, { syncsLate: true, slowSyncMs: SYNC_MS });
    step(state, { kind: 'tick', nowMs: TIMEOUT_MS });
    step(state, {
      kind: 'message',
      from,
      message: {
        kind: 'preVoteRequest', term: 1, lastIndex: 0, lastTerm: 0,
      },
    });
    return state;
  };
  assert.equal(receive('a#0', 'b#0').role, 'follower');
  assert.equal(receive('b#0', 'a#0').role, 'preCandidate');
  assert.ok(receive('a#0', 'b#0').electionDeadlineMs >= TIMEOUT_MS + SYNC_MS);
});
