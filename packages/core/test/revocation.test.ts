import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import CurrencyProof from '../src/revocation/CurrencyProof';

const SEED = 20261207;
const RUNS = 2000;
const BOUND_MS = 5000;
/** Time after the last answer for which an entry must serve, in milliseconds: 0.6 of the bound. */
const OWED_MS = 3000;

/**
 * A step of the life of an entry and of control:
 *
 * - `ask`: the entry asks; the answer arrives after a delay, or never
 * - `change`: a configuration without the key is acknowledged
 * - `wait`: time passes; what arrives meanwhile is processed
 * - `freeze`: the entry stands still; requests are processed before or after what has arrived
 * - `move`: the entry follows another control VM and hears no answers of the former one
 */
type Step = { readonly kind: 'ask'; readonly delayMs: number; readonly isLost: boolean }
  | { readonly kind: 'change' | 'move' }
  | { readonly kind: 'wait'; readonly ms: number }
  | { readonly kind: 'freeze'; readonly ms: number; readonly isRequestFirst: boolean };

interface Answer {
  readonly number: number;
  readonly atMs: number;
  readonly revision: number;
}

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('ask' as const), delayMs: fc.nat(9000), isLost: fc.boolean() }),
  fc.record({ kind: fc.constantFrom('change' as const, 'move' as const) }),
  fc.record({ kind: fc.constant('wait' as const), ms: fc.nat(3000) }),
  fc.record({ kind: fc.constant('freeze' as const), ms: fc.nat(12_000), isRequestFirst: fc.boolean() }),
);

/** An entry, its link to control and the revisions of the configuration. */
class Model {
  private readonly proof = new CurrencyProof(BOUND_MS);

  private nowMs = 0;

  private answers: Answer[] = [];

  /** When each revision was acknowledged. */
  private readonly acknowledgedAtMs = [0];

  /** The revision that the entry decides by. */
  private held = 0;

  run(steps: readonly Step[]): void {
    steps.forEach((each) => {
      this.apply(each);
      this.checkRequest();
    });
  }

  private get newest(): number {
    return this.acknowledgedAtMs.length - 1;
  }

  private apply(each: Step): void {
    switch (each.kind) {
      case 'ask': {
        const number = this.proof.ask(this.nowMs);
        // Control answers with what was acknowledged when it was asked, and with nothing newer.
        if (each.isLost) break;
        this.answers.push({ number, atMs: this.nowMs + each.delayMs, revision: this.newest });
        break;
      }
      case 'change':
        this.acknowledgedAtMs.push(this.nowMs);
        break;
      case 'wait':
        this.nowMs += each.ms;
        this.receive();
        break;
      case 'freeze':
        this.nowMs += each.ms;
        if (each.isRequestFirst) this.checkRequest();
        this.receive();
        break;
      default:
        this.answers = [];
        this.proof.forgetQuestions();
    }
  }

  private receive(): void {
    const due = this.answers.filter(({ atMs }) => atMs <= this.nowMs);
    this.answers = this.answers.filter(({ atMs }) => atMs > this.nowMs);
    due.forEach(({ number, revision }) => {
      this.held = Math.max(this.held, revision);
      this.proof.confirm(number);
    });
  }

  /** A request that is sent now must not be decided by a revision that was replaced long ago. */
  private checkRequest(): void {
    const replacedAtMs = this.acknowledgedAtMs[this.held + 1] ?? Infinity;
    const isLate = this.nowMs - replacedAtMs > BOUND_MS;
    assert.equal(isLate && this.proof.isProven(this.nowMs), false);
  }
}

// Guards against a key that works later than the bound after it was revoked.
test('no order of answers, losses, freezes and changes lets a revoked key work after the bound', () => {
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    new Model().run(steps);
  }), { seed: SEED, numRuns: RUNS });
});

test('an entry that asks at intervals serves for 0.6 of the bound after the last answer', () => {
  fc.assert(fc.property(
    fc.integer({ min: 50, max: 500 }),
    fc.nat(400),
    fc.integer({ min: 1, max: 20 }),
    (intervalMs, delayMs, count) => {
      const proof = new CurrencyProof(BOUND_MS);
      let lastAnswerMs = 0;
      for (let index = 0; index < count; index += 1) {
        proof.confirm(proof.ask(index * intervalMs));
        lastAnswerMs = index * intervalMs + delayMs;
      }
      // The path is lost right before the next answer.
      assert.equal(proof.isProven(lastAnswerMs + intervalMs + OWED_MS), true);
    },
  ), { seed: SEED, numRuns: RUNS });
});

test('nothing is proven before the first answer, and nothing by answers to no question', () => {
  const proof = new CurrencyProof(BOUND_MS);
  assert.equal(proof.isProven(0), false);
  proof.confirm(7);
  assert.equal(proof.isProven(0), false);
  proof.confirm(proof.ask(0));
  assert.deepEqual([proof.isProven(4500), proof.isProven(4501)], [true, false]);
});

// An answer that lay in a buffer while the entry was suspended looks new but is not.
test('the age of an answer counts from its question', () => {
  const proof = new CurrencyProof(BOUND_MS);
  const number = proof.ask(0);
  proof.confirm(number);
  const late = proof.ask(4000);
  assert.equal(proof.isProven(9000), false);
  proof.confirm(late);
  assert.equal(proof.isProven(9000), false);
});

test('a question to a control VM that is not followed any more proves nothing', () => {
  const proof = new CurrencyProof(BOUND_MS);
  const number = proof.ask(0);
  proof.forgetQuestions();
  proof.confirm(number);
  assert.equal(proof.isProven(1), false);
});

test('a late answer to an early question does not shorten a proof', () => {
  const proof = new CurrencyProof(BOUND_MS);
  const [first, second] = [proof.ask(0), proof.ask(500)];
  proof.confirm(second);
  proof.confirm(first);
  assert.equal(proof.isProven(5000), true);
});
