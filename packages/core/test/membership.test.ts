import assert from 'node:assert/strict';
import { test } from 'node:test';

import createConsensusState from '../src/consensus/createConsensusState';
import createDurableState from '../src/consensus/createDurableState';
import type ConsensusState from '../src/consensus/ConsensusState';
import maintainMembers from '../src/consensus/maintainMembers';
import step from '../src/consensus/step';
import timing from '../src/consensus/timing';

const VOTERS = ['a#0', 'b#0', 'c#0', 'd#0', 'e#0'];

/** Creates the leader of five voters, one of them unreachable, and of learners that caught up. */
function createLeader(unreachableMs: number, learners: string[]): ConsensusState {
  const durable = createDurableState(VOTERS);
  durable.snapshot = {
    ...durable.snapshot, members: { voters: [...VOTERS], learners },
  };
  const state = createConsensusState('a#0', durable, 0, () => 0.5);
  state.role = 'leader';
  state.leader = 'a#0';
  state.nowMs = 100_000;
  [...VOTERS.slice(1), ...learners].forEach((replica) => state.progress.set(replica, {
    matchIndex: 0,
    nextIndex: 1,
    round: 0,
    lastContactAtMs: replica === 'e#0' ? state.nowMs - unreachableMs : state.nowMs,
    snapshotSentAtMs: -Infinity,
  }));
  return state;
}

function applyAllChanges(state: ConsensusState): void {
  while (maintainMembers(state)) {
    const { index } = state.log[state.log.length - 1] as { index: number };
    Object.assign(state, { commitIndex: index, membersIndex: index });
    state.progress.forEach((progress, replica) => {
      if (replica !== 'e#0') Object.assign(progress, { matchIndex: index });
    });
  }
}

test('a voter that stays unreachable is replaced by a replica that joined', () => {
  const state = createLeader(timing.lostVoterMs, ['f#1']);
  applyAllChanges(state);
  assert.deepEqual([...state.members.voters].sort(), ['a#0', 'b#0', 'c#0', 'd#0', 'f#1']);
});

test('a voter that is unreachable for a short time is kept', () => {
  const state = createLeader(timing.lostVoterMs - 1000, ['f#1']);
  applyAllChanges(state);
  assert.equal(state.members.voters.includes('e#0'), true);
});

test('an unreachable voter is kept while there is no replacement', () => {
  const state = createLeader(timing.lostVoterMs * 10, []);
  applyAllChanges(state);
  assert.deepEqual(state.members.voters, VOTERS);
});

test('a voter that was removed during a partition is added again', () => {
  const state = createLeader(0, []);
  step(state, {
    kind: 'message',
    from: 'z#0',
    message: {
      kind: 'preVoteRequest', term: 1, lastIndex: 0, lastTerm: 0,
    },
  });
  assert.equal(state.joining === 'z#0' || state.members.learners.includes('z#0'), true);
});
