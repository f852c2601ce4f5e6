import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import type VmMessage from '../src/messages/VmMessage';
import CurrencyClient from '../src/registry/CurrencyClient';
import CurrencyTask from '../src/registry/CurrencyTask';
import adaptFailure from '../src/relay/adaptFailure';
import type VmHub from '../src/session/VmHub';
import type VmSession from '../src/session/VmSession';

const LEADER = '10.1.0.2';

interface Control {
  readonly task: CurrencyTask;
  /** What was sent to the entry, with a mark for the changes. */
  readonly toEntry: string[];
  readonly toLeader: VmMessage[];
  readonly entry: VmSession;
  appliedIndex: number;
  isLeader: boolean;
  leaderName: string | undefined;
  leaderVersion: number;
  isSame: boolean;
  /** Ends the read points that are under way. */
  endReads: (isReady: boolean) => void;
  settle: () => Promise<void>;
}

function createControl(t: TestContext): Control {
  t.mock.timers.enable({ apis: ['setTimeout'] });
  const reads: ((isReady: boolean) => void)[] = [];
  const toEntry: string[] = [];
  const toLeader: VmMessage[] = [];
  const entry = {
    send: (message: VmMessage) => toEntry.push('number' in message ? `${message.kind} ${message.number}` : message.kind),
  } as unknown as VmSession;
  const hub = {
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called on a question
    protocolVersionOf: () => control.leaderVersion,
    send: (_name: string, message: VmMessage) => toLeader.push(message) > 0,
  } as unknown as VmHub;
  const control: Control = {
    task: new CurrencyTask({
      hub,
      consensus: {
        get isLeader() {
          return control.isLeader;
        },
        get leaderName() {
          return control.leaderName;
        },
        awaitReadPoint: async () => new Promise((resolve) => {
          reads.push(resolve);
        }),
      },
      appliedIndex: () => control.appliedIndex,
      flush: () => toEntry.push('changes'),
      isSameDeclaration: async () => Promise.resolve(control.isSame),
    }),
    toEntry,
    toLeader,
    entry,
    appliedIndex: 5,
    isLeader: false,
    leaderName: LEADER,
    leaderVersion: 5,
    isSame: true,
    endReads: (isReady) => reads.splice(0).forEach((resolve) => resolve(isReady)),
    settle: async () => new Promise((resolve) => {
      setImmediate(resolve);
    }),
  };
  return control;
}

function ask({ task, entry }: Control, number: number): void {
  task.onMessage(entry, { kind: 'currencyAsk', number });
}

// Hearing the leader proves nothing: its messages may be old, or it may have been replaced.
test('a follower answers only once it has applied a read point of the leader', async (t) => {
  const control = createControl(t);
  ask(control, 1);
  await control.settle();
  assert.deepEqual(control.toLeader, [{ kind: 'readPointAsk', number: 1 }]);
  assert.deepEqual(control.toEntry, []);
  control.task.onMessage(control.entry, { kind: 'readPoint', number: 1, index: 7 });
  await control.settle();
  assert.deepEqual(control.toEntry, []);
  control.appliedIndex = 7;
  control.task.handleApplied();
  await control.settle();
  assert.deepEqual(control.toEntry, ['changes', 'currencyAnswer 1']);
});

test('a question that arrives during a confirmation waits for the next read point', async (t) => {
  const control = createControl(t);
  ask(control, 1);
  ask(control, 2);
  control.task.onMessage(control.entry, { kind: 'readPoint', number: 1, index: 5 });
  await control.settle();
  assert.deepEqual(control.toEntry, ['changes', 'currencyAnswer 1']);
  assert.equal(control.toLeader.length, 2);
  control.task.onMessage(control.entry, { kind: 'readPoint', number: 2, index: 5 });
  await control.settle();
  assert.deepEqual(control.toEntry.slice(2), ['changes', 'currencyAnswer 2']);
});

test('a read point that answers an earlier question confirms nothing', async (t) => {
  const control = createControl(t);
  ask(control, 1);
  t.mock.timers.tick(600);
  await control.settle();
  ask(control, 2);
  control.task.onMessage(control.entry, { kind: 'readPoint', number: 1, index: 5 });
  await control.settle();
  assert.deepEqual(control.toEntry, []);
});

[true, false].forEach((isReady) => {
  test(`a leader ${isReady ? 'answers once' : 'does not answer unless'} a quorum has confirmed it`, async (t) => {
    const control = createControl(t);
    control.isLeader = true;
    ask(control, 1);
    control.task.onMessage(control.entry, { kind: 'readPointAsk', number: 9 });
    await control.settle();
    assert.deepEqual(control.toEntry, []);
    control.endReads(isReady);
    await control.settle();
    const expected = isReady ? ['changes', 'currencyAnswer 1', 'readPoint 9'] : [];
    assert.deepEqual(new Set(control.toEntry), new Set(expected));
  });
});

test('a VM that does not lead gives no read point', async (t) => {
  const control = createControl(t);
  control.task.onMessage(control.entry, { kind: 'readPointAsk', number: 9 });
  control.endReads(true);
  await control.settle();
  assert.deepEqual(control.toEntry, []);
});

test('a follower without a leader asks again once there is one', async (t) => {
  const control = createControl(t);
  control.leaderName = undefined;
  ask(control, 1);
  t.mock.timers.tick(100);
  await control.settle();
  control.leaderName = LEADER;
  ask(control, 2);
  await control.settle();
  assert.deepEqual([control.toLeader.length, control.toEntry.length], [1, 0]);
});

// A leader of an older build closes the session over a question that it does not know.
[true, false].forEach((isSame) => {
  test(`beside an older leader the declaration is compared, ${isSame ? 'the same' : 'another'}`, async (t) => {
    const control = createControl(t);
    control.leaderVersion = 4;
    control.isSame = isSame;
    ask(control, 1);
    await control.settle();
    t.mock.timers.tick(1000);
    await control.settle();
    assert.deepEqual(control.toLeader, []);
    assert.deepEqual(control.toEntry, isSame ? ['changes', 'currencyAnswer 1'] : []);
  });
});

test('an entry asks the control VM that it follows at intervals, and none of an older build', (t) => {
  t.mock.timers.enable({ apis: ['setTimeout'] });
  let nowMs = 0;
  const sent: VmMessage[] = [];
  const createSession = (startId: string): VmSession => ({
    peer: { startId }, send: (message: VmMessage) => sent.push(message),
  } as unknown as VmSession);
  const client = new CurrencyClient(5000, () => nowMs);
  client.follow(createSession('00.4'));
  t.mock.timers.tick(2000);
  assert.deepEqual([sent.length, client.isProven], [0, false]);
  client.follow(createSession('00.5'));
  client.handleAnswer(1);
  assert.equal(client.isProven, true);
  nowMs = 500;
  t.mock.timers.tick(500);
  assert.deepEqual(sent.map((message) => ('number' in message ? message.number : -1)), [1, 2]);
  nowMs = 4600;
  assert.equal(client.isProven, false);
  client.stop();
  client.handleAnswer(2);
  assert.equal(client.isProven, false);
  t.mock.timers.tick(2000);
  assert.equal(sent.length, 2);
});

test('an entry of an older build is told no failure that it does not know', () => {
  const createSession = (startId: string): VmSession => (
    { peer: { startId } } as unknown as VmSession);
  const failure = { kind: 'keysUnproven', detail: '' } as const;
  assert.equal(adaptFailure(failure, createSession('00.4')).kind, 'overloaded');
  assert.equal(adaptFailure(failure, createSession('00.5')).kind, 'keysUnproven');
  assert.equal(adaptFailure({ kind: 'unauthorized', detail: '' }, createSession('00.4')).kind, 'unauthorized');
});
