import assert from 'node:assert/strict';
import { test } from 'node:test';

import createServiceReachability from '../src/reachability/createServiceReachability';
import hasAnsweredSince from '../src/reachability/hasAnsweredSince';
import hasLostTargets from '../src/reachability/hasLostTargets';
import isSilentTarget from '../src/reachability/isSilentTarget';
import reachabilityLimits from '../src/reachability/reachabilityLimits';
import recordContactFailure from '../src/reachability/recordContactFailure';
import recordProbeSent from '../src/reachability/recordProbeSent';
import recordTargetAnswer from '../src/reachability/recordTargetAnswer';
import type ServiceReachability from '../src/reachability/ServiceReachability';
import createRandom from './support/createRandom';

const TARGETS = ['a', 'b', 'c', 'd', 'e', 'f'];
const { silentAfterMs } = reachabilityLimits;

function probe(state: ServiceReachability, ids: readonly string[], nowMs: number): void {
  ids.forEach((id) => recordProbeSent(state, id, nowMs));
}

test('targets are lost once several have left a probe unanswered for too long', () => {
  const state = createServiceReachability();
  recordTargetAnswer(state, 'a', 5);
  probe(state, TARGETS.slice(0, 4), 10);
  assert.equal(hasLostTargets(state, TARGETS.length, 10 + silentAfterMs - 1), false);
  assert.equal(hasLostTargets(state, TARGETS.length, 10 + silentAfterMs), true);
});

test('refused connections count at once', () => {
  const state = createServiceReachability();
  TARGETS.forEach((id) => recordContactFailure(state, id, 20));
  assert.equal(hasLostTargets(state, TARGETS.length, 20), true);
});

test('an answer of any target shows that the others are down by themselves', () => {
  const state = createServiceReachability();
  probe(state, TARGETS, 10);
  recordTargetAnswer(state, 'f', 12);
  assert.equal(hasLostTargets(state, TARGETS.length, 1000), false);
  assert.equal(isSilentTarget(state, 'a', 1000), true);
});

test('probes after the last answer count again, and silence goes on from the first of them', () => {
  const state = createServiceReachability();
  probe(state, TARGETS, 10);
  recordTargetAnswer(state, 'f', 12);
  probe(state, TARGETS.slice(0, 4), 400);
  assert.equal(hasLostTargets(state, TARGETS.length, 401), true);
});

test('of a service with fewer targets, all must be silent', () => {
  const state = createServiceReachability();
  probe(state, ['a'], 0);
  assert.equal(hasLostTargets(state, 2, 1000), false);
  probe(state, ['b'], 1000);
  assert.equal(hasLostTargets(state, 2, 2000), true);
});

test('a service without targets is not lost', () => {
  assert.equal(hasLostTargets(createServiceReachability(), 0, 1000), false);
});

test('the end of a loss is reported once, with its length', () => {
  const state = createServiceReachability();
  state.unreachableSinceMs = 100;
  assert.equal(recordTargetAnswer(state, 'a', 350), 250);
  assert.equal(recordTargetAnswer(state, 'a', 400), undefined);
});

test('silence since a time needs a probe since then', () => {
  const state = createServiceReachability();
  assert.equal(hasAnsweredSince(state, 100), true);
  probe(state, ['a'], 110);
  assert.equal(hasAnsweredSince(state, 100), false);
  recordTargetAnswer(state, 'a', 120);
  assert.equal(hasAnsweredSince(state, 100), true);
});

// Each probe or its answer is lost with the given share, and comes 200 ms late after a resend.
test('a network that loses three packets in ten is seldom taken for a cut', () => {
  const random = createRandom(7);
  const rounds = 2000;
  let lost = 0;
  for (let round = 0; round < rounds; round += 1) {
    const state = createServiceReachability();
    const arrivals = TARGETS.map((id) => {
      let atMs = 2;
      while (random() < 0.51) atMs += 200;
      return { id, atMs };
    }).sort((a, b) => a.atMs - b.atMs);
    probe(state, TARGETS, 0);
    arrivals.filter(({ atMs }) => atMs <= silentAfterMs)
      .forEach(({ id, atMs }) => recordTargetAnswer(state, id, atMs));
    if (hasLostTargets(state, TARGETS.length, silentAfterMs)) lost += 1;
  }
  assert.ok(lost / rounds < 0.05, `${lost} of ${rounds}`);
});

test('where answers were slow of late, silence takes longer to count, up to a bound', () => {
  const { maxSilentAfterMs, slowestAnswerHalfLifeMs } = reachabilityLimits;
  const isLostAfter = (answerMs: number, ageMs: number, waitMs: number): boolean => {
    const state = createServiceReachability();
    probe(state, ['a'], 0);
    recordTargetAnswer(state, 'a', answerMs);
    probe(state, TARGETS, answerMs + ageMs);
    return hasLostTargets(state, TARGETS.length, answerMs + ageMs + waitMs);
  };
  assert.equal(isLostAfter(10, 1, silentAfterMs), true);
  assert.equal(isLostAfter(120, 1, 230), false);
  assert.equal(isLostAfter(120, 1, 240), true);
  assert.equal(isLostAfter(3000, 1, maxSilentAfterMs - 1), false);
  assert.equal(isLostAfter(3000, 1, maxSilentAfterMs), true);
  assert.equal(isLostAfter(120, 10 * slowestAnswerHalfLifeMs, silentAfterMs), true);
});
