import assert from 'node:assert/strict';
import { test } from 'node:test';

import DictionaryLoadHeaderParser from '../src/choice/DictionaryLoadHeaderParser';
import errorTable from '../src/errors/errorTable';
import type Failure from '../src/errors/Failure';
import type AttemptResult from '../src/scheduling/AttemptResult';
import SchedulerRig from './support/SchedulerRig';

const GOOD: AttemptResult = { evidence: 'answered', status: 200, loadHeader: undefined };

function kindOf(decisions: readonly { val: unknown }[]): string {
  return (decisions[0]?.val as Failure).kind;
}

test('attempts fill the slots of all targets before they queue', () => {
  const rig = new SchedulerRig();
  ['a', 'b'].forEach((id) => rig.addTarget(id));
  const ids = Array.from({ length: 4 }, () => rig.assign().target.id);
  assert.deepEqual(ids.sort(), ['a', 'a', 'b', 'b']);
  assert.deepEqual(rig.schedule(), []);
});

// Guards against an attempt that is sent to a target without a connection for it.
test('attempts queue once they take all connections that a target accepts', () => {
  const rig = new SchedulerRig();
  rig.addTarget('a', { slots: 4, connectionLimit: 2 });
  const running = [rig.assign(), rig.assign()];
  const waiting = rig.schedule();
  assert.deepEqual(waiting, []);
  running[0]?.finish(GOOD);
  assert.equal(waiting.length, 1);
});

test('a target queue admits that many extra attempts per target', () => {
  const rig = new SchedulerRig('entry-1', { targetQueue: 1 });
  ['a', 'b'].forEach((id) => rig.addTarget(id));
  const ids = Array.from({ length: 6 }, () => rig.assign().target.id);
  assert.deepEqual(ids.sort(), ['a', 'a', 'a', 'b', 'b', 'b']);
  assert.deepEqual(rig.schedule(), []);
});

test('the earliest deadline leaves the queue first', () => {
  const rig = new SchedulerRig();
  rig.addTarget('a', { slots: 1 });
  const running = rig.assign();
  const late = rig.schedule({ deadlineMs: rig.nowMs + 900 });
  const early = rig.schedule({ deadlineMs: rig.nowMs + 500 });
  running.finish(GOOD);
  assert.equal(early.length, 1);
  assert.equal(late.length, 0);
});

test('a full queue refuses attempts with the outcome not-run', () => {
  const rig = new SchedulerRig('entry-1', { queueLimit: 1 });
  rig.addTarget('a', { slots: 1 });
  rig.assign();
  rig.schedule();
  assert.equal(kindOf(rig.schedule()), 'overloaded');
  assert.equal(errorTable.overloaded.outcome, 'not-run');
});

test('an attempt whose deadline cannot be met is refused on arrival and in the queue', () => {
  const rig = new SchedulerRig();
  rig.addTarget('a', { slots: 1 });
  rig.assign();
  assert.equal(kindOf(rig.schedule({ deadlineMs: rig.nowMs + 1 })), 'deadlineUnreachable');
  const waiting = rig.schedule({ deadlineMs: rig.nowMs + 50 });
  rig.nowMs += 45;
  rig.scheduler.tick();
  assert.equal(kindOf(waiting), 'deadlineUnreachable');
  assert.equal(errorTable.deadlineUnreachable.outcome, 'not-run');
});

test('a cancelled attempt leaves the queue', () => {
  const rig = new SchedulerRig();
  rig.addTarget('a', { slots: 1 });
  const running = rig.assign();
  let decided = 0;
  const attempt = rig.scheduler.schedule({
    match: {
      routeName: 'lots', serviceName: 'listing', service: { timeoutMs: 1000 }, homeRegions: undefined,
    },
    deadlineMs: rig.nowMs + 1000,
    isIdempotent: true,
    purpose: 'first',
    triedTargetIds: [],
  }, () => {
    decided += 1;
  });
  attempt.cancel();
  running.finish(GOOD);
  assert.equal(decided, 0);
});

test('in-flight counts of other entries apply until their next report', () => {
  const [first, second] = [new SchedulerRig('entry-1'), new SchedulerRig('entry-2')];
  [first, second].forEach((rig) => rig.addTarget('a', { slots: 1 }));
  second.assign().finish(GOOD);
  const running = first.assign();
  const report = first.scheduler.collectReport(first.nowMs);
  assert.ok(report);
  second.scheduler.applyReport('entry-1', report, second.nowMs);
  const waiting = second.schedule();
  assert.equal(waiting.length, 0);
  running.finish(GOOD);
  const next = first.scheduler.collectReport(first.nowMs + 100);
  assert.ok(next);
  second.scheduler.applyReport('entry-1', next, second.nowMs);
  assert.equal(waiting.length, 1);
});

test('in-flight counts of a departed entry are discarded', () => {
  const [first, second] = [new SchedulerRig('entry-1'), new SchedulerRig('entry-2')];
  [first, second].forEach((rig) => rig.addTarget('a', { slots: 1 }));
  second.assign().finish(GOOD);
  first.assign();
  const report = first.scheduler.collectReport(first.nowMs);
  assert.ok(report);
  second.scheduler.applyReport('entry-1', report, second.nowMs);
  const waiting = second.schedule();
  second.scheduler.discardEntryLoads('entry-1');
  assert.equal(waiting.length, 1);
});

test('a target that does not respond is avoided in favour of a free one', () => {
  const rig = new SchedulerRig();
  ['a', 'b'].forEach((id) => rig.addTarget(id, { slots: 4 }));
  const stuck = rig.assign().target.id;
  rig.nowMs += 200;
  const ids = Array.from({ length: 4 }, () => rig.assign().target.id);
  assert.ok(!ids.includes(stuck));
});

test('near targets are preferred, and remote ones are used only after a wait', () => {
  const rig = new SchedulerRig();
  rig.addTarget('remote', {}, 'remote');
  rig.addTarget('near', { slots: 1 });
  assert.equal(rig.assign().target.id, 'near');
  const waiting = rig.schedule();
  rig.scheduler.tick();
  assert.equal(waiting.length, 0);
  rig.nowMs += 20;
  rig.scheduler.tick();
  assert.equal(waiting[0]?.unwrap().target.id, 'remote');
});

test('spill-over to other regions stays within its byte budget', () => {
  const rig = new SchedulerRig('entry-1', { remoteBytesPerSecond: 20_000 });
  rig.addTarget('remote', { slots: 100 }, 'remote');
  rig.assign();
  rig.assign();
  assert.equal(rig.schedule().length, 0);
});

test('failing targets are ejected, but never more than half', () => {
  const rig = new SchedulerRig();
  ['a', 'b', 'c', 'd'].forEach((id) => rig.addTarget(id, { slots: 8 }));
  for (let index = 0; index < 40; index += 1) rig.run(1, { evidence: 'failed', status: undefined });
  const used = new Set(Array.from({ length: 16 }, () => rig.assign().target.id));
  assert.equal(used.size, 2);
});

test('retries and hedges stay within their budgets', () => {
  const rig = new SchedulerRig();
  rig.addTarget('a', { slots: 1000 });
  (['retry', 'hedge'] as const).forEach((purpose) => {
    let granted = 0;
    for (let index = 0; index < 200; index += 1) {
      rig.assign().finish(GOOD);
      if (rig.schedule({ purpose })[0]?.ok === true) granted += 1;
    }
    const share = { retry: 0.1, hedge: 0.05 }[purpose];
    assert.ok(granted <= 400 * share + 1, `${purpose}: ${granted}`);
    assert.ok(granted >= 200 * share - 1, `${purpose}: ${granted}`);
  });
});

test('a hedge goes only to a target with a free slot', () => {
  const rig = new SchedulerRig();
  rig.addTarget('a', { slots: 1 });
  rig.addTarget('b', { slots: 1 });
  const first = rig.assign().target.id;
  const second = rig.assign();
  const hedge = { purpose: 'hedge', triedTargetIds: [first] } as const;
  assert.equal(kindOf(rig.schedule(hedge)), 'overloaded');
  second.finish(GOOD);
  assert.equal(rig.assign(hedge).target.id, second.target.id);
});

test('a retry is not sent to a target that was already tried', () => {
  const rig = new SchedulerRig();
  rig.addTarget('a');
  assert.equal(kindOf(rig.schedule({ purpose: 'retry', triedTargetIds: ['a'] })), 'noTarget');
});

test('a new start id resets the state of a target', () => {
  const rig = new SchedulerRig();
  rig.addTarget('a', { slots: 1 });
  rig.assign();
  rig.candidates = [];
  rig.addTarget('a', { slots: 1, startId: 'start-2' });
  assert.equal(rig.assign().target.startId, 'start-2');
});

test('load headers are parsed, and malformed ones are ignored', () => {
  const parser = new DictionaryLoadHeaderParser();
  ([
    ['in-flight=3', 3],
    ['slots=2, in-flight=0', 0],
    ['in-flight=-1', undefined],
    ['in-flight=99999999', undefined],
    ['', undefined],
  ] as const).forEach(([value, expected]) => {
    assert.equal(parser.parse(value)?.inFlight, expected, value);
  });
});
