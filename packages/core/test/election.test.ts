import assert from 'node:assert/strict';
import { test } from 'node:test';

import type ConsensusMessage from '../src/consensus/ConsensusMessage';
import type ConsensusState from '../src/consensus/ConsensusState';
import createConsensusState from '../src/consensus/createConsensusState';
import createDurableState from '../src/consensus/createDurableState';
import step from '../src/consensus/step';
import timing from '../src/consensus/timing';
import vmNameOf from '../src/consensus/vmNameOf';
import createRandom from './support/createRandom';

const VOTERS = ['a#0', 'b#0', 'c#0', 'd#0', 'e#0'];
/** Network latency in one direction between two regions, in milliseconds. */
const ONE_WAY_MS = 8;
const TICK_MS = 50;
const STEP_MS = 2;
/** Interval between the starts of two voters, in milliseconds. */
const START_GAP_MS = 100;
const LAST_START_MS = (VOTERS.length - 1) * START_GAP_MS;

interface Packet {
  readonly from: string;
  readonly to: string;
  readonly dueMs: number;
  readonly message: ConsensusMessage;
}

/**
 * Starts the voters one after the other and returns when the first leader is elected, in ms. What
 * is sent to a voter that has not started is lost; a session opens a round trip after its start.
 */
function electAfter(seed: number, gapMs: number): number {
  const random = createRandom(seed);
  const states = new Map<string, ConsensusState>();
  let packets: Packet[] = [];
  const execute = (self: string, effects: ReturnType<typeof step>, nowMs: number): void => {
    effects.forEach((effect) => {
      if (effect.kind !== 'send') return;
      packets.push({
        from: self, to: effect.to, dueMs: nowMs + ONE_WAY_MS, message: effect.message,
      });
    });
  };
  for (let nowMs = 0; nowMs < 10_000; nowMs += STEP_MS) {
    VOTERS.filter((self, index) => !states.has(self) && nowMs >= index * gapMs)
      .forEach((self) => states.set(
        self,
        createConsensusState(self, createDurableState(VOTERS), nowMs, random),
      ));
    VOTERS.forEach((started, index) => {
      if (nowMs !== index * gapMs + 2 * ONE_WAY_MS) return;
      states.forEach((state, self) => {
        execute(self, step(state, { kind: 'connected', vmName: vmNameOf(started) }), nowMs);
      });
    });
    const due = packets.filter(({ dueMs }) => dueMs <= nowMs);
    packets = packets.filter(({ dueMs }) => dueMs > nowMs);
    due.forEach(({ from, to, message }) => {
      const state = states.get(to);
      if (state !== undefined) execute(to, step(state, { kind: 'message', from, message }), nowMs);
    });
    if (nowMs % TICK_MS === 0) {
      states.forEach((state, self) => execute(self, step(state, { kind: 'tick', nowMs }), nowMs));
    }
    const leader = [...states.values()].find(({ role }) => role === 'leader');
    if (leader !== undefined) return nowMs;
  }
  return Infinity;
}

test('voters that all restart elect a leader within half an election timeout', () => {
  const seeds = Array.from({ length: 200 }, (_, index) => index + 1);
  const boundMs = LAST_START_MS + timing.electionMinMs / 2;
  const late = seeds.filter((seed) => electAfter(seed, START_GAP_MS) > boundMs);
  assert.deepEqual(late, []);
});

// After a loss of all power, callers wait for control. The vote of the third voter completes a
// quorum; a voter that asked before the third one started must ask it, too, without a new election.
[130, 170, 230].forEach((gapMs) => {
  test(`voters that start ${gapMs} ms apart have a leader within three round trips and a tick of the third`, () => {
    const boundMs = 2 * gapMs + 6 * ONE_WAY_MS + TICK_MS;
    const late = Array.from({ length: 200 }, (_, index) => index + 1)
      .filter((seed) => electAfter(seed, gapMs) > boundMs);
    assert.deepEqual(late, []);
  });
});
