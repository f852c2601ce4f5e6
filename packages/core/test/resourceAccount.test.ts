import assert from 'node:assert/strict';
import { test } from 'node:test';

import deriveResourceLimits from '../src/limits/deriveResourceLimits';
import ResourceAccount from '../src/limits/ResourceAccount';
import type ResourceHolder from '../src/limits/ResourceHolder';
import SharedByteBudget from '../src/limits/SharedByteBudget';

const LIMIT = 1000;
const MIB = 1024 * 1024;

interface Held {
  readonly name: string;
  readonly bytes: number;
  readonly idleMs: number | undefined;
}

function addHolder(
  account: ResourceAccount,
  evicted: string[],
  { name, bytes, idleMs }: Held,
): void {
  account.tryReserve('requests', bytes);
  const holder: ResourceHolder = {
    heldBytes: bytes,
    idleMs: () => idleMs,
    evict: () => {
      evicted.push(name);
      account.release('requests', bytes);
    },
  };
  account.addHolder(holder);
}

// Guards against small or busy connections that are closed in place of a large idle one.
test('the holder with the largest product of bytes and idle time is evicted first', () => {
  const account = new ResourceAccount(LIMIT, () => 0);
  const evicted: string[] = [];
  addHolder(account, evicted, { name: 'large and busy', bytes: 500, idleMs: undefined });
  addHolder(account, evicted, { name: 'small and idle', bytes: 50, idleMs: 2000 });
  addHolder(account, evicted, { name: 'large and idle', bytes: 300, idleMs: 1500 });
  addHolder(account, evicted, { name: 'large and active', bytes: 150, idleMs: 400 });
  assert.equal(account.tryReserve('bodies', 100), true);
  assert.deepEqual(evicted, ['large and idle']);
  assert.equal(account.tryReserve('bodies', 250), true);
  assert.deepEqual(evicted, ['large and idle', 'small and idle']);
  assert.equal(account.tryReserve('bodies', 1), false);
  assert.deepEqual([account.usedBytes, account.evictedCount, account.refusedCount], [LIMIT, 2, 1]);
});

// Guards against bytes that stay reserved after one of the two budgets has refused them.
test('a shared budget reserves nothing if either limit is reached', () => {
  const account = new ResourceAccount(LIMIT, () => 0);
  const budget = new SharedByteBudget(600, account, 'responses');
  const other = new SharedByteBudget(LIMIT, account, 'waitingBodies');
  assert.equal(other.tryReserve(700), true);
  assert.equal(budget.tryReserve(400), false);
  assert.deepEqual([budget.usedBytes, account.usedBytes], [0, 700]);
  assert.equal(budget.tryReserve(300), true);
  budget.release(300);
  other.release(700);
  assert.deepEqual([budget.usedBytes, account.usedBytes], [0, 0]);
});

// Guards against a derived budget that refuses what the fixed budgets allowed before.
test('the limits of the deployments leave room for buffered responses and bodies', () => {
  [{ memoryMb: 250 }, { memoryMb: 346 }, { memoryMb: 350 }, {}].forEach((limits) => {
    assert.equal(deriveResourceLimits(limits).bytes > (32 + 16) * MIB, true);
  });
  assert.deepEqual(deriveResourceLimits({ maxFds: 4100 }).connections, 2460);
  assert.deepEqual(deriveResourceLimits({}).connections, 10_000);
});
