import assert from 'node:assert/strict';
import { test } from 'node:test';

import areConnectionsRefused from '../src/connections/areConnectionsRefused';
import type ConnectionEvidence from '../src/connections/ConnectionEvidence';
import connectionLimits from '../src/connections/connectionLimits';
import createConnectionEvidence from '../src/connections/createConnectionEvidence';
import needsProvenConnection from '../src/connections/needsProvenConnection';
import recordConnection from '../src/connections/recordConnection';

const { minRefusingTargets, refusalMemoryMs } = connectionLimits;

/** Evidence of as many refusals at time 0, each by another target. */
function createRefusals(count: number): ConnectionEvidence {
  const evidence = createConnectionEvidence();
  for (let index = 0; index < count; index += 1) recordConnection(evidence, `t-${index}`, false, 0);
  return evidence;
}

test('a target whose last new connection failed gets no request on the next one', () => {
  const evidence = createRefusals(1);
  assert.ok(needsProvenConnection(evidence, 't-0', 0));
  assert.ok(!needsProvenConnection(evidence, 't-1', 0));
  recordConnection(evidence, 't-0', true, 1);
  assert.ok(!needsProvenConnection(evidence, 't-0', 1));
});

test('connections count as refused once several targets in a row refuse them', () => {
  assert.ok(!areConnectionsRefused(createRefusals(minRefusingTargets - 1), 0));
  const evidence = createRefusals(minRefusingTargets);
  assert.ok(areConnectionsRefused(evidence, 0));
  assert.ok(needsProvenConnection(evidence, 'another', 0));
});

test('one target that refuses again and again proves nothing about the others', () => {
  const evidence = createConnectionEvidence();
  for (let time = 0; time < 50; time += 1) recordConnection(evidence, 't-0', false, time);
  assert.ok(!areConnectionsRefused(evidence, 50));
});

test('a connection that works ends the suspicion', () => {
  const evidence = createRefusals(minRefusingTargets);
  recordConnection(evidence, 'another', true, 1);
  assert.ok(!areConnectionsRefused(evidence, 1));
});

test('refusals count for a while only', () => {
  const evidence = createRefusals(minRefusingTargets);
  assert.ok(areConnectionsRefused(evidence, refusalMemoryMs));
  assert.ok(!areConnectionsRefused(evidence, refusalMemoryMs + 1));
});
