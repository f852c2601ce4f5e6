import assert from 'node:assert/strict';
import { test } from 'node:test';

import timing from '@guavayard/core/consensus/timing';
import vmNameOf from '@guavayard/core/consensus/vmNameOf';

import GroupWatch from '../src/control/GroupWatch';

const ELECTION = {
  role: 'preCandidate', term: 5, lastIndex: 9, commitIndex: 8, voters: ['a#0', 'b#1', 'c#0'], learners: [], votes: ['a#0'],
} as const;

interface Rig {
  readonly watch: GroupWatch;
  readonly lines: string[];
  readonly consensus: { isLeader: boolean; silentMembers: string[]; contactAtMs: number };
  nowMs: number;
}

function createRig(): Rig {
  const lines: string[] = [];
  const consensus = { isLeader: true, silentMembers: [] as string[], contactAtMs: -Infinity };
  const rig = { nowMs: 0, lines, consensus };
  const write = (fields: unknown, text?: string): void => {
    lines.push(text === undefined ? String(fields) : `${text} ${JSON.stringify(fields)}`);
  };
  const watch = new GroupWatch({
    clock: () => rig.nowMs,
    consensus: {
      electionState: ELECTION,
      get isLeader() {
        return consensus.isLeader;
      },
      get silentMembers() {
        return consensus.silentMembers;
      },
      get silentVms() {
        return consensus.silentMembers.map(vmNameOf);
      },
      get timeSinceLeaderContactMs() {
        return rig.nowMs - consensus.contactAtMs;
      },
    },
    reopen: (name) => lines.push(`reopen ${name}`),
    hub: { controlSessions: new Map([['b', 1]]), namesOf: () => [] },
    log: { info: write, warn: write } as ConstructorParameters<typeof GroupWatch>[0]['log'],
  });
  return Object.assign(rig, { watch });
}

test('a member that does not respond is logged once, with its sessions, until it responds', () => {
  const rig = createRig();
  rig.consensus.silentMembers = ['b#1'];
  rig.watch.tick();
  rig.watch.tick();
  assert.equal(rig.watch.silentMemberCount, 1);
  rig.consensus.silentMembers = [];
  rig.watch.tick();
  assert.deepEqual(rig.lines, [
    'member does not respond {"member":"b#1","sessions":1,"canSend":false}',
    'new session opened as nothing is heard {"peer":"b","sessions":1}',
    'reopen b',
    'member responds again or was removed {"member":"b#1","sessions":1,"canSend":false}',
  ]);
});

test('a replica that hears no leader is logged once, until it hears one', () => {
  const rig = createRig();
  rig.consensus.isLeader = false;
  [0, timing.lostVoterMs - 1, timing.lostVoterMs, timing.lostVoterMs + 250].forEach((nowMs) => {
    rig.nowMs = nowMs;
    rig.watch.tick();
  });
  assert.equal(rig.watch.leaderSilenceMs, timing.lostVoterMs + 250);
  rig.consensus.contactAtMs = rig.nowMs;
  rig.watch.tick();
  assert.deepEqual(rig.lines, [
    `no leader heard {"silenceMs":${timing.lostVoterMs},"sessions":{"b":1},"reachable":[],"role":"preCandidate",`
      + '"term":5,"lastIndex":9,"commitIndex":8,"voters":["a#0","b#1","c#0"],"learners":[],"votes":["a#0"]}',
    'new session opened as nothing is heard {"peer":"b","sessions":1}',
    'reopen b',
    'leader heard again',
  ]);
});

test('the silence of a replica that led until now starts with the end of its lead', () => {
  const rig = createRig();
  rig.nowMs = 60_000;
  rig.watch.tick();
  rig.consensus.isLeader = false;
  rig.nowMs += 250;
  rig.watch.tick();
  assert.equal(rig.watch.leaderSilenceMs, 250);
});
