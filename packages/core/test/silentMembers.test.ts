import assert from 'node:assert/strict';
import { test } from 'node:test';

import type ConsensusMessage from '../src/consensus/ConsensusMessage';
import createConsensusState from '../src/consensus/createConsensusState';
import createDurableState from '../src/consensus/createDurableState';
import findSilentMembers from '../src/consensus/findSilentMembers';
import findSilentVms from '../src/consensus/findSilentVms';
import step from '../src/consensus/step';
import timing from '../src/consensus/timing';

const CASES = [
  {
    name: 'voter silent for long', role: 'leader', replica: 'b#0', silentMs: timing.lostVoterMs, expected: ['b#0'],
  },
  {
    name: 'learner silent for long', role: 'leader', replica: 'd#1', silentMs: timing.lostVoterMs, expected: ['d#1'],
  },
  {
    name: 'voter silent for a moment', role: 'leader', replica: 'b#0', silentMs: timing.lostVoterMs - 1, expected: [],
  },
  {
    name: 'a follower knows nothing', role: 'follower', replica: 'b#0', silentMs: timing.lostVoterMs, expected: [],
  },
] as const;

CASES.forEach(async ({
  name, role, replica, silentMs, expected,
}) => test(`silent members: ${name}`, () => {
  const durable = createDurableState(['a#0', 'b#0', 'c#0']);
  durable.snapshot = {
    ...durable.snapshot, members: { voters: ['a#0', 'b#0', 'c#0'], learners: ['d#1'] },
  };
  const state = createConsensusState('a#0', durable, 0, () => 0.5, 3);
  Object.assign(state, { role, nowMs: 100_000 });
  ['b#0', 'c#0', 'd#1'].forEach((member) => state.progress.set(member, {
    matchIndex: 0,
    nextIndex: 1,
    round: 0,
    lastContactAtMs: state.nowMs - (member === replica ? silentMs : 0),
    initialLastIndex: 0,
    snapshotSentAtMs: -Infinity,
  }));
  assert.deepEqual(findSilentMembers(state), expected);
}));

// Guards against a new session, which ends the snapshot on its way to a VM that has lost its disk.
test('a VM whose present member responds is not silent, though its former member is', () => {
  const durable = createDurableState(['a#0', 'b#0', 'c#0']);
  durable.snapshot = {
    ...durable.snapshot, members: { voters: ['a#0', 'b#0', 'c#0'], learners: ['b#1'] },
  };
  const state = createConsensusState('a#0', durable, 0, () => 0.5, 3);
  Object.assign(state, { role: 'leader', nowMs: 100_000 });
  const silence = { 'b#0': timing.lostVoterMs, 'c#0': timing.lostVoterMs, 'b#1': 0 };
  Object.entries(silence).forEach(([member, silentMs]) => state.progress.set(member, {
    matchIndex: 0,
    nextIndex: 1,
    round: 0,
    lastContactAtMs: state.nowMs - silentMs,
    initialLastIndex: 0,
    snapshotSentAtMs: -Infinity,
  }));
  assert.deepEqual(findSilentMembers(state), ['b#0', 'c#0']);
  assert.deepEqual(findSilentVms(state), ['c']);
});

// Guards against a quorum that counts a leader which was killed for longer than other lost voters.
test('the leader before this one is silent since it was heard last, but has time to respond', () => {
  const voters = ['a#0', 'b#0', 'c#0', 'd#0', 'e#0'];
  const state = createConsensusState('b#0', createDurableState(voters), 0, () => 0, voters.length);
  const receive = (from: string, message: ConsensusMessage): void => {
    step(state, { kind: 'message', from, message });
  };
  const heardAtMs = 10_000;
  step(state, { kind: 'tick', nowMs: heardAtMs });
  receive('a#0', {
    kind: 'append', term: 1, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0, round: 1,
  });
  const electedAtMs = heardAtMs + timing.lostVoterMs;
  step(state, { kind: 'tick', nowMs: electedAtMs });
  ['c#0', 'd#0'].forEach((from) => receive(from, { kind: 'preVoteAnswer', term: 2, isGranted: true }));
  ['c#0', 'd#0'].forEach((from) => receive(from, { kind: 'voteAnswer', term: 2, isGranted: true }));
  assert.equal(state.role, 'leader');
  step(state, { kind: 'tick', nowMs: electedAtMs + timing.electionMinMs - 1 });
  assert.deepEqual(findSilentMembers(state), []);
  step(state, { kind: 'tick', nowMs: electedAtMs + timing.electionMinMs });
  assert.deepEqual(findSilentMembers(state), ['a#0']);
});
