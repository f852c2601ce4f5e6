import assert from 'node:assert/strict';
import { test } from 'node:test';

import type ConsensusEffect from '../src/consensus/ConsensusEffect';
import type ConsensusEvent from '../src/consensus/ConsensusEvent';
import type ConsensusState from '../src/consensus/ConsensusState';
import createConsensusState from '../src/consensus/createConsensusState';
import createDurableState from '../src/consensus/createDurableState';
import drawElectionDeadline from '../src/consensus/drawElectionDeadline';
import step from '../src/consensus/step';
import timing from '../src/consensus/timing';
import createRandom from './support/createRandom';

const VOTERS = ['a#0', 'b#0', 'c#0', 'd#0', 'e#0'];
/** The voters that remain of the five, all of whose votes a leader needs. */
const REMAINING = VOTERS.slice(0, 3);
const TICK_MS = 50;
const MAX_ONE_WAY_MS = 12;
const MAX_SYNC_MS = 10;
const SEEDS = 500;
const END_MS = 20_000;

interface Arrival {
  readonly to: string;
  readonly dueMs: number;
  readonly event: Extract<ConsensusEvent, { kind: 'message' }>;
}

/** @returns when the voters that remain elect a leader after they heard the former one, in ms */
function electWithout(seed: number): number {
  const random = createRandom(seed);
  const draw = (maxMs: number): number => 1 + Math.floor(random() * maxMs);
  const states = new Map(REMAINING.map((self): [string, ConsensusState] => {
    const state = createConsensusState(self, createDurableState(VOTERS), 0, random);
    state.hasSeenLeader = true;
    state.electionDeadlineMs = drawElectionDeadline(state);
    return [self, state];
  }));
  const phases = new Map(REMAINING.map((self) => [self, draw(TICK_MS)]));
  const lastDueMs = new Map<string, number>();
  let arrivals: Arrival[] = [];
  const execute = (self: string, effects: readonly ConsensusEffect[], nowMs: number): void => {
    const syncMs = effects.some(({ kind }) => kind === 'write') ? draw(MAX_SYNC_MS) : 0;
    effects.forEach((effect) => {
      if (effect.kind !== 'send') return;
      const { to, message } = effect;
      const link = `${self}>${to}`;
      const dueMs = Math.max(lastDueMs.get(link) ?? 0, nowMs + syncMs + draw(MAX_ONE_WAY_MS));
      lastDueMs.set(link, dueMs);
      arrivals.push({ to, dueMs, event: { kind: 'message', from: self, message } });
    });
  };
  for (let nowMs = 0; nowMs < END_MS; nowMs += 1) {
    const due = arrivals.filter(({ dueMs }) => dueMs <= nowMs);
    arrivals = arrivals.filter(({ dueMs }) => dueMs > nowMs);
    due.forEach(({ to, event }) => {
      const state = states.get(to);
      if (state !== undefined) execute(to, step(state, event), nowMs);
    });
    states.forEach((state, self) => {
      if ((nowMs + (phases.get(self) ?? 0)) % TICK_MS !== 0) return;
      execute(self, step(state, { kind: 'tick', nowMs }), nowMs);
    });
    if ([...states.values()].some(({ role }) => role === 'leader')) return nowMs;
  }
  return Infinity;
}

// Guards against elections that fail in series as candidates take each other's votes.
test('three of five voters elect a leader before they take each other for silent', () => {
  const seeds = Array.from({ length: SEEDS }, (_, index) => index + 1);
  const late = seeds.map(electWithout).filter((electedMs) => electedMs > timing.lostVoterMs);
  assert.deepEqual(late, []);
});
