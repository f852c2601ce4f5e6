import assert from 'node:assert/strict';
import { test } from 'node:test';

import type TenantLimit from '@guavayard/core/quota/TenantLimit';

import QuotaModel from './support/quota/QuotaModel';

const RULE = { windowMs: 5000, overage: 0.1, slack: 20 };
const SEEDS = 12;
const SURGE_FROM_MS = 7000;
const SURGE_TO_MS = 13_000;
const END_MS = 18_000;
/** Time in which the entries of the model start to follow control. */
const START_MS = 1000;
/** Usual requests per second of the tenants, of which the quota is 1.6 times as many. */
const USUAL = [1, 4.7, 20, 60, 90];
const QUOTA_FACTOR = 1.6;

interface Faults {
  readonly name: string;
  /** Whether entries lose control for so long that they limit tenants themselves. */
  readonly losesContact?: boolean;
  readonly apply: (model: QuotaModel) => void;
}

function createTenant(usual: number): TenantLimit {
  const rate = usual * QUOTA_FACTOR;
  return { name: `tenant-${usual}`, ratePerSecond: rate, burst: rate };
}

function findBound({ ratePerSecond, burst }: TenantLimit): number {
  const quota = (ratePerSecond * RULE.windowMs) / 1000 + burst;
  return quota * (1 + RULE.overage) + RULE.slack;
}

/** Creates a model in which some tenants go to a multiple of their usual rate for a time. */
function createSurge(seed: number, surging: readonly number[], factor = 10): QuotaModel {
  return new QuotaModel({
    seed,
    rule: RULE,
    traffic: USUAL.map((usual) => ({
      tenant: createTenant(usual),
      ratePerSecond: (nowMs) => (
        surging.includes(usual) && nowMs >= SURGE_FROM_MS && nowMs < SURGE_TO_MS
          ? factor * usual : usual),
    })),
  });
}

function assertBounds(model: QuotaModel, name: string): void {
  model.tenants.forEach((tenant) => {
    const worst = model.countWorstWindow(tenant.name, RULE.windowMs);
    const bound = findBound(tenant);
    assert.ok(worst <= bound, `${name}: ${tenant.name} ${worst} of ${bound}`);
  });
}

const FAULTS: readonly Faults[] = [
  { name: 'no fault', apply: () => undefined },
  {
    name: 'a control VM is killed',
    apply: (model) => model.time.after(6000 + model.random() * 4000, () => {
      model.restartControl(model.pickControl(), 1500);
    }),
  },
  {
    name: 'two control VMs are killed',
    apply: (model) => model.controls.slice(0, 2).forEach((control) => {
      model.time.after(6500 + model.random() * 3000, () => model.restartControl(control, 1500));
    }),
  },
  {
    name: 'a control VM is frozen',
    losesContact: true,
    apply: (model) => model.time.after(6500 + model.random() * 2000, () => {
      model.freezeControl(model.pickControl(), 2500);
    }),
  },
  {
    name: 'a quarter of the entries are frozen, restarted, or cut off one way',
    losesContact: true,
    apply: (model) => model.entries.slice(0, 33).forEach((state, index) => {
      const entry = state;
      model.time.after(6000 + model.random() * 6000, () => {
        const { nowMs } = model.time;
        if (index % 4 === 0) entry.frozenUntilMs = nowMs + 2000;
        if (index % 4 === 1) entry.restart();
        if (index % 4 === 2) entry.cutOutUntilMs = nowMs + 4000;
        if (index % 4 === 3) entry.cutInUntilMs = nowMs + 4000;
      });
    }),
  },
];

// Guards against requests beyond the rule: what entries admit before they know of a surge, what a
// lost VM had counted, and what entries without control admit.
FAULTS.forEach(({ name, apply, losesContact = false }) => {
  test(`a surge stays within the rule and costs no other tenant: ${name}`, () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const surging = seed % 2 === 0 ? USUAL.slice(2) : USUAL.filter((_, index) => (
        index === seed % USUAL.length));
      const model = createSurge(seed, surging);
      apply(model);
      model.time.advanceTo(END_MS);
      assertBounds(model, `seed ${seed}`);
      USUAL.filter((usual) => !surging.includes(usual)).forEach((usual) => {
        const { refusedAtMs, refusedAlone } = model.result(createTenant(usual).name);
        const refused = losesContact ? refusedAtMs : [...refusedAtMs, ...refusedAlone];
        assert.equal(refused.filter((atMs) => atMs > START_MS).length, 0, `seed ${seed}: ${usual}`);
      });
    }
  });
});

// Guards against a group that forgets what was admitted before all of it ended.
[-1500, -600, -200, 0, 500, 1000, 3000].forEach((offsetMs) => {
  test(`the rule holds if all control VMs end ${offsetMs} ms after the start of a surge`, () => {
    [700, 1500, 4000].forEach((downMs) => {
      const model = createSurge(offsetMs + downMs, USUAL.slice(2));
      model.time.advanceTo(SURGE_FROM_MS + offsetMs);
      model.controls.forEach((control) => model.restartControl(control, downMs));
      model.time.advanceTo(END_MS);
      assertBounds(model, `down for ${downMs} ms`);
    });
  });
});

// Guards against shares that waste credit, as when the level is refilled above its limit.
test('steady demand of twice the quota or more uses 97% of it', () => {
  [1, 4.7, 20, 90].forEach((usual) => [2, 4].forEach((factor) => {
    const tenant = createTenant(usual);
    const model = new QuotaModel({
      seed: usual,
      rule: RULE,
      traffic: [{ tenant, ratePerSecond: () => factor * tenant.ratePerSecond }],
    });
    model.time.advanceTo(70_000);
    const admitted = model.result(tenant.name).admittedAtMs.filter((atMs) => atMs > 10_000).length;
    const share = admitted / (60 * tenant.ratePerSecond);
    assert.ok(share >= 0.97 && share <= 1.03, `${usual} times ${factor}: ${share}`);
    assertBounds(model, `${usual} times ${factor}`);
  }));
});

/** Returns the refusals at which all that was asked for is within rate and burst. */
function findWrongRefusals(
  model: QuotaModel,
  { name, ratePerSecond, burst }: TenantLimit,
): number[] {
  const { admittedAtMs, refusedAtMs, refusedAlone } = model.result(name);
  const refused = new Set([...refusedAtMs, ...refusedAlone]);
  let level = burst;
  let lastMs = 0;
  return [...admittedAtMs, ...refusedAtMs, ...refusedAlone].sort((a, b) => a - b).filter((atMs) => {
    level = Math.min(burst, level + ((atMs - lastMs) * ratePerSecond) / 1000) - 1;
    lastMs = atMs;
    return level >= 0 && refused.has(atMs) && atMs > START_MS;
  });
}

// Guards against refusals of bursts that are within rate and burst.
test('demand below the quota is not refused when requests arrive in groups', () => {
  [1, 4.7, 20, 90].forEach((usual) => [1, 2, 4, 8].forEach((batch) => {
    const tenant = createTenant(usual);
    const model = new QuotaModel({
      seed: batch, rule: RULE, traffic: [{ tenant, ratePerSecond: () => usual, batch }],
    });
    model.time.advanceTo(120_000);
    const wrong = findWrongRefusals(model, tenant);
    assert.equal(wrong.length, 0, `${usual} in groups of ${batch}: ${wrong.join()}`);
  }));
});

// Guards against a debt or a level of the former limit that stays in force.
test('a lowered limit binds one window after it is in force', () => {
  const tenant = createTenant(60);
  const lowered = { ...tenant, ratePerSecond: 10, burst: 10 };
  const model = new QuotaModel({
    seed: 3, rule: RULE, traffic: [{ tenant, ratePerSecond: () => 150 }],
  });
  model.time.advanceTo(10_000);
  model.tenants = [lowered];
  model.time.advanceTo(40_000);
  const { admittedAtMs } = model.result(tenant.name);
  const later = admittedAtMs.filter((atMs) => atMs > 12_500);
  later.forEach((startMs, index) => {
    const end = later.findLastIndex((atMs) => atMs < startMs + RULE.windowMs);
    assert.ok(end - index + 1 <= findBound(lowered), `${end - index + 1} from ${startMs} ms`);
  });
  const used = later.filter((atMs) => atMs > 20_000).length / (20 * lowered.ratePerSecond);
  assert.ok(used >= 0.97, `${used}`);
});
