import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import type QuotaDecision from '@guavayard/core/quota/QuotaDecision';
import type DeclaredTenant from '@guavayard/core/tenants/DeclaredTenant';

import type QuotaAccount from '../src/QuotaAccount';
import QuotaCredit from '../src/QuotaCredit';
import QuotaGate from '../src/QuotaGate';
import GatewayRig from './support/GatewayRig';

const TENANT: DeclaredTenant = {
  name: 'acme', label: 'acme', keyHashes: [], ratePerSecond: 10, burst: 5,
};

/** Admits requests as long as there is credit, at once and without control. */
class FakeAccount implements QuotaAccount {
  used = 0;

  constructor(private readonly credit = Infinity) {}

  decide(): QuotaDecision {
    if (this.used >= this.credit) return { isAdmitted: false, retryAfterMs: 700, basis: 'share 0.000' };
    this.used += 1;
    return { isAdmitted: true };
  }

  adjust(_tenant: DeclaredTenant, count: number): void {
    this.used += count;
  }
}

interface QuotaRig {
  readonly rig: GatewayRig;
  readonly account: FakeAccount;
}

/** Creates an entry whose requests all belong to one tenant. */
function createRig(t: TestContext, credit?: number): QuotaRig {
  const rig = new GatewayRig(t);
  const account = new FakeAccount(credit);
  const gate = new QuotaGate(account);
  rig.quotas.admit = (request) => gate.admit({ ...request, tenant: TENANT });
  return { rig, account };
}

test('a request over the quota is refused at once, names quota and version, and is not sent', (t) => {
  const { rig } = createRig(t, 1);
  rig.addTarget('a');
  const first = rig.request();
  const second = rig.request();
  assert.deepEqual([second.status, second.headers['retry-after']], [429, '700']);
  rig.run(500);
  assert.deepEqual([first.status, rig.sender.sent.length], [200, 1]);
  const line = rig.lines.find(({ decision }) => decision === 'quotaExceeded');
  assert.deepEqual(
    [line?.route, line?.version, line?.detail],
    ['lots', 1, 'tenant acme: 10/s, burst 5, version 1; share 0.000'],
  );
});

// Guards against quotas that are used up by requests that no target has run.
test('a request that is refused without having been sent gives its credit back', (t) => {
  const { rig, account } = createRig(t);
  const refused = rig.request();
  rig.run(5000);
  assert.equal(refused.status, 503);
  assert.equal(account.used, 0);
});

test('a request that every target refuses to run gives its credit back', (t) => {
  const { rig, account } = createRig(t);
  rig.addTarget('a', { mode: 'not-run' });
  rig.addTarget('b', { mode: 'not-run' });
  const res = rig.request();
  rig.run(5000);
  assert.equal(res.status, 503);
  assert.equal(account.used, 0);
});

test('a request that a second target runs after the first one refused counts once', (t) => {
  const { rig, account } = createRig(t);
  rig.addTarget('a', { mode: 'not-run' });
  rig.addTarget('b', { slowness: 1.1 });
  const responses = Array.from({ length: 4 }, () => {
    const res = rig.request();
    rig.run(500);
    return res;
  });
  assert.ok(responses.every(({ status }) => status === 200));
  assert.equal(account.used, 4);
});

test('requests without a tenant, or of a tenant without a limit, are not counted', () => {
  const account = new FakeAccount(0);
  const gate = new QuotaGate(account);
  const request = { version: 1, relayedBy: undefined };
  const free = { ...TENANT, ratePerSecond: 0 };
  [undefined, free].forEach((tenant) => assert.equal(gate.admit({ ...request, tenant }).ok, true));
  assert.deepEqual([gate.asked, gate.refused], [0, 0]);
  assert.equal(gate.admit({ ...request, tenant: TENANT }).ok, false);
  assert.deepEqual([gate.asked, gate.refused], [1, 1]);
});

// Guards against a request that two entries count, and against one that the second entry refuses.
test('a relayed request is counted by the entry that its caller is connected to', () => {
  const account = new FakeAccount(0);
  const admitted = new QuotaGate(account).admit({ tenant: TENANT, version: 1, relayedBy: 'entry-2' });
  const credit = admitted.ok ? admitted.val : undefined;
  credit?.recordSent();
  credit?.end(true);
  assert.deepEqual([admitted.ok, account.used], [true, 0]);
});

interface CreditCase {
  readonly name: string;
  readonly steps: readonly ('sent' | 'notRun')[];
  readonly mayHaveRun?: boolean;
  readonly used: number;
}

const CREDIT_CASES: readonly CreditCase[] = [
  { name: 'never sent', steps: [], used: 0 },
  {
    name: 'given to another entry', steps: [], mayHaveRun: true, used: 1,
  },
  { name: 'sent once', steps: ['sent'], used: 1 },
  { name: 'sent and refused', steps: ['sent', 'notRun'], used: 0 },
  { name: 'refused, then run', steps: ['sent', 'notRun', 'sent'], used: 1 },
  { name: 'repeated', steps: ['sent', 'sent'], used: 2 },
  { name: 'hedged, one refused', steps: ['sent', 'sent', 'notRun'], used: 1 },
];

// Guards against repeats and hedges that arrive at targets without being counted.
CREDIT_CASES.forEach(({
  name, steps, mayHaveRun = false, used,
}) => {
  test(`credit of a request: ${name}`, () => {
    const account = new FakeAccount();
    account.decide();
    const credit = new QuotaCredit(account, TENANT, true);
    steps.forEach((step) => {
      if (step === 'sent') credit.recordSent();
      else credit.recordNotRun();
    });
    credit.end(mayHaveRun);
    credit.end(mayHaveRun);
    assert.equal(account.used, used);
  });
});
