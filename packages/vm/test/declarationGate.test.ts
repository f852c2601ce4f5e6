import assert from 'node:assert/strict';
import { test } from 'node:test';

import DeclarationGate from '../src/registry/DeclarationGate';

// Guards against a log that grows with each resend while its disk is slow.
test('a version that is sent again is proposed once, and again only after a failure', async () => {
  const gate = new DeclarationGate();
  const finishes: ((isCommitted: boolean) => void)[] = [];
  const propose = async (): Promise<boolean> => new Promise((resolve) => {
    finishes.push(resolve);
  });
  const calls = [gate.propose(7, propose), gate.propose(7, propose)];
  assert.equal(finishes.length, 1);
  finishes[0]?.(false);
  assert.deepEqual(await Promise.all(calls), [false, false]);
  const again = gate.propose(7, propose);
  assert.equal(finishes.length, 2);
  finishes[1]?.(true);
  assert.equal(await again, true);
});

// Guards against a change that is in force and not acknowledged, as another VM has proposed it.
test('a call for a version ends once it or a higher one is applied', async () => {
  const gate = new DeclarationGate();
  const never = new Promise<string>(() => {});
  const calls = [7, 8, 9].map(async (version) => gate.awaitApplied(version, never));
  gate.handleApplied(8);
  assert.deepEqual(await Promise.all(calls.slice(0, 2)), [undefined, undefined]);
  assert.equal(await gate.awaitApplied(9, Promise.resolve('refused')), 'refused');
});
