import assert from 'node:assert/strict';
import { test } from 'node:test';

import createConsensusState from '../src/consensus/createConsensusState';
import createDurableState from '../src/consensus/createDurableState';
import type ConsensusState from '../src/consensus/ConsensusState';
import isLeaveSettled from '../src/consensus/isLeaveSettled';
import type LogEntry from '../src/consensus/LogEntry';
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
  const state = createConsensusState('a#0', durable, 0, () => 0.5, VOTERS.length);
  state.role = 'leader';
  state.leader = 'a#0';
  state.nowMs = 100_000;
  [...VOTERS.slice(1), ...learners].forEach((replica) => state.progress.set(replica, {
    matchIndex: 0,
    nextIndex: 1,
    round: 0,
    lastContactAtMs: replica === 'e#0' ? state.nowMs - unreachableMs : state.nowMs,
    initialLastIndex: 0,
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

// Guards against voters that are gone but count in the quorum after overlapping replacements.
test('two of seven voters that are gone are both removed', () => {
  const state = createLeader(timing.lostVoterMs, ['f#1', 'g#1']);
  state.leaving.add('d#0');
  applyAllChanges(state);
  assert.deepEqual([...state.members.voters].sort(), ['a#0', 'b#0', 'c#0', 'f#1', 'g#1']);
});

// Guards against a replacement that never votes, as each check finds it behind by some entries.
test('a learner becomes a voter under continuous writes once it holds the log of when it joined', () => {
  const state = createLeader(0, ['f#1']);
  Object.assign(state, { commitIndex: 300 });
  Object.assign(state.progress.get('f#1') as object, { matchIndex: 279, initialLastIndex: 280 });
  assert.equal(maintainMembers(state), false);
  Object.assign(state.progress.get('f#1') as object, { matchIndex: 299 });
  assert.equal(maintainMembers(state), true);
  assert.equal(state.members.voters.includes('f#1'), true);
});

test('a learner that lacks many entries does not become a voter', () => {
  const state = createLeader(0, ['f#1']);
  Object.assign(state, { commitIndex: 300 });
  Object.assign(state.progress.get('f#1') as object, { matchIndex: 200, initialLastIndex: 0 });
  assert.equal(maintainMembers(state), false);
});

test('a replacement takes the place of a voter that is gone in a group of the largest size', () => {
  const state = createLeader(timing.lostVoterMs, ['f#1', 'g#1', 'h#1']);
  applyAllChanges(state);
  assert.equal(state.members.voters.includes('e#0'), false);
  assert.equal(state.members.voters.includes('h#1'), true);
});

test('a leaving voter of an odd group stays a voter, as its removal would gain nothing', () => {
  const state = createLeader(0, []);
  step(state, { kind: 'leave', replica: 'd#0' });
  assert.deepEqual(state.members.voters, VOTERS);
  assert.equal(isLeaveSettled(state, 'd#0'), true);
});

test('a leaving voter of an even group is removed at once, and may stop after the commit', () => {
  const state = createLeader(0, ['f#1']);
  applyAllChanges(state);
  step(state, { kind: 'leave', replica: 'd#0' });
  assert.equal(state.members.voters.includes('d#0'), false);
  assert.equal(isLeaveSettled(state, 'd#0'), false);
  state.commitIndex = state.membersIndex;
  assert.equal(isLeaveSettled(state, 'd#0'), true);
});

// Guards against overlapping replacements: the next leader did not know that the first one left.
test('a leaving voter that an odd group can do without is removed before it stops', () => {
  const state = createLeader(0, ['f#1', 'g#1']);
  applyAllChanges(state);
  assert.equal(state.members.voters.length, 7);
  step(state, { kind: 'leave', replica: 'd#0' });
  assert.equal(state.members.voters.includes('d#0'), false);
  assert.equal(isLeaveSettled(state, 'd#0'), false);
  state.commitIndex = state.membersIndex;
  assert.equal(isLeaveSettled(state, 'd#0'), true);
});

test('a leader that leaves removes itself, and leads until the change is committed', () => {
  const state = createLeader(0, ['f#1']);
  applyAllChanges(state);
  step(state, { kind: 'leave', replica: 'a#0' });
  assert.equal(state.members.voters.includes('a#0'), false);
  assert.equal(state.role, 'leader');
  state.commitIndex = state.membersIndex;
  step(state, { kind: 'tick', nowMs: state.nowMs });
  assert.equal(state.role, 'follower');
  step(state, { kind: 'tick', nowMs: state.nowMs + timing.electionMaxMs });
  assert.equal(state.role, 'follower');
});

// Guards against a second planned stop that ends before there is a leader to take the VM out.
test('voters elect a successor soon after the leader has removed itself', () => {
  const durable = createDurableState(VOTERS);
  const state = createConsensusState('b#0', durable, 0, () => 0.5, VOTERS.length);
  const append = (index: number, entries: LogEntry[], nowMs: number): void => {
    step(state, { kind: 'tick', nowMs });
    step(state, {
      kind: 'message',
      from: 'a#0',
      message: {
        kind: 'append', term: 1, previousIndex: index, previousTerm: index, entries, commitIndex: index, round: 1,
      },
    });
  };
  const members = { voters: VOTERS.slice(1), learners: [] };
  append(0, [{ index: 1, term: 1, command: { kind: 'members', members } }], 10_000);
  assert.equal(state.leader, 'a#0');
  append(1, [], 10_010);
  assert.equal(state.leader, undefined);
  step(state, { kind: 'tick', nowMs: 10_010 + timing.startMaxMs });
  assert.equal(state.role, 'preCandidate');
});

test('a voter that left and came back is kept', () => {
  const state = createLeader(0, ['f#1']);
  step(state, { kind: 'leave', replica: 'd#0' });
  step(state, { kind: 'join', replica: 'd#0' });
  applyAllChanges(state);
  assert.equal(state.members.voters.includes('d#0'), true);
});

test('a group without a spare voter keeps one that is gone for long', () => {
  const state = createLeader(timing.lostVoterMs, []);
  state.members = { voters: VOTERS.filter((voter) => voter !== 'd#0'), learners: [] };
  applyAllChanges(state);
  assert.equal(state.members.voters.length, 4);
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

// Guards against replacements that take so many changes that the next loss comes first.
test('a replica that joins takes the place of the former member of its VM in one change', () => {
  const state = createLeader(timing.electionMinMs, []);
  step(state, { kind: 'join', replica: 'e#1' });
  assert.equal(maintainMembers(state), true);
  assert.deepEqual(state.members, { voters: VOTERS.slice(0, 4), learners: ['e#1'] });
});

test('a delayed request to join of a former member removes no voter that responds', () => {
  const state = createLeader(0, []);
  step(state, { kind: 'join', replica: 'e#former' });
  assert.equal(maintainMembers(state), true);
  assert.deepEqual(state.members, { voters: VOTERS, learners: ['e#former'] });
});

// Guards against replacements that wait for a learner before the former member is removed.
test('the former member of a VM is removed while its learner still catches up', () => {
  const state = createLeader(timing.electionMinMs, ['e#1']);
  Object.assign(state, { commitIndex: 300 });
  assert.equal(maintainMembers(state), true);
  assert.deepEqual(state.members, { voters: VOTERS.slice(0, 4), learners: ['e#1'] });
});
