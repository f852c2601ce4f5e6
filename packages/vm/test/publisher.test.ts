import assert from 'node:assert/strict';
import { test } from 'node:test';

import { decode } from 'cbor-x';

import type VmMessage from '../src/messages/VmMessage';
import RegistryPublisher from '../src/registry/RegistryPublisher';
import RegistryStore from '../src/registry/RegistryStore';
import frameLayout from '../src/session/frameLayout';
import type VmIdentity from '../src/session/VmIdentity';
import type VmSession from '../src/session/VmSession';

const VM = {
  name: '10.1.0.1', region: 'munster', dataCentre: 'cork', address: '10.1.0.1:7000',
};
const ROSTER = { controls: [], entries: [VM] };

type Sent = VmMessage['kind'];

interface RecordingSession {
  readonly session: VmSession;
  readonly sent: Sent[];
  readonly frames: Buffer[];
}

/** Creates a session that records the messages sent over it. */
function createSession(): RecordingSession {
  const sent: Sent[] = [];
  const frames: Buffer[] = [];
  const session = {
    send: (message: VmMessage) => sent.push(message.kind),
    sendFrame: (frame: Buffer) => {
      frames.push(frame);
      sent.push((decode(frame.subarray(frameLayout.headerBytes)) as VmMessage).kind);
    },
  };
  return { session: session as unknown as VmSession, sent, frames };
}

function createPublisher(): RegistryPublisher {
  const store = new RegistryStore(() => 0, undefined, 0);
  return new RegistryPublisher(store, () => true, () => undefined, () => 0);
}

test('a crash report of an entry is relayed to control, a relayed one only to subscribers', () => {
  const relayed: VmMessage[] = [];
  const publisher = new RegistryPublisher(
    new RegistryStore(() => 0, undefined, 0),
    () => true,
    (message) => relayed.push(message),
    () => 0,
  );
  const reporter = createSession();
  const other = createSession();
  [reporter, other].forEach(({ session, sent }) => {
    publisher.onMessage(session, { kind: 'registrySubscribe' });
    sent.splice(0);
  });
  publisher.onMessage(reporter.session, { kind: 'crashReport', fingerprint: 'a', isRelayed: false });
  assert.deepEqual([reporter.sent, other.sent], [[], ['crashReport']]);
  assert.deepEqual(relayed, [{ kind: 'crashReport', fingerprint: 'a', isRelayed: true }]);
  publisher.onMessage(createSession().session, { kind: 'crashReport', fingerprint: 'a', isRelayed: true });
  assert.deepEqual([reporter.sent, other.sent], [['crashReport'], ['crashReport', 'crashReport']]);
  assert.equal(relayed.length, 1);
});

// Guards against entries that crash targets again after a start, as they know no earlier reports.
test('an entry is told of earlier crashes before its view', () => {
  const publisher = createPublisher();
  const reporter = createSession();
  ['a', 'a', 'b', 'a', 'a'].forEach((fingerprint) => (
    publisher.onMessage(reporter.session, { kind: 'crashReport', fingerprint, isRelayed: false })));
  const started = createSession();
  publisher.onMessage(started.session, { kind: 'registrySubscribe' });
  assert.deepEqual(started.sent, [...Array.from({ length: 4 }, () => 'crashReport'), 'registryView']);
});

// Guards against entries that crash targets again as a started control VM knows no reports.
test('a control VM is told which requests are refused, and tells its entries once', () => {
  const publisher = createPublisher();
  const reporter = createSession();
  ['a', 'a', 'b', 'a'].forEach((fingerprint) => (
    publisher.onMessage(reporter.session, { kind: 'crashReport', fingerprint, isRelayed: false })));
  const peer: VmIdentity = {
    ...VM, roles: ['control'], startId: '00',
  };
  const started = createSession();
  publisher.onOpen(started.session, peer);
  assert.deepEqual(started.sent, ['crashReport', 'crashReport', 'crashReport']);
  const entry = createSession();
  publisher.onOpen(entry.session, { ...peer, roles: ['entry'] });
  assert.deepEqual(entry.sent, []);
  const other = createPublisher();
  other.onMessage(entry.session, { kind: 'registrySubscribe' });
  for (let count = 0; count < 6; count += 1) {
    other.onMessage(started.session, { kind: 'crashReport', fingerprint: 'a', isRelayed: true });
  }
  assert.deepEqual(entry.sent, ['registryView', 'crashReport', 'crashReport', 'crashReport']);
});

// Guards against one end of a target that counts once for each entry that reports it.
test('the reports of several entries on one end of a target count as one', () => {
  let nowMs = 0;
  const relayed: unknown[][] = [];
  const publisher = new RegistryPublisher(
    new RegistryStore(() => 0, undefined, 0),
    () => true,
    (...message) => relayed.push(message),
    () => nowMs,
  );
  const [reporter, other, older] = ['00.4', '00.4', '00.3'].map((startId) => {
    const recording = createSession();
    Object.assign(recording.session, { peer: { ...VM, roles: ['entry'], startId } });
    publisher.onMessage(recording.session, { kind: 'registrySubscribe' });
    recording.sent.splice(0);
    return recording;
  });
  const control = createSession();
  const report = (session: VmSession | undefined, targetId: string, isRelayed: boolean): void => {
    if (session === undefined) return;
    publisher.onMessage(session, {
      kind: 'targetCrashed', fingerprint: 'a', targetId, isRelayed,
    });
  };
  report(reporter?.session, 't-1', false);
  report(other?.session, 't-1', false);
  report(control.session, 't-1', true);
  assert.deepEqual([reporter, other, older].map((entry) => entry?.sent), [[], ['targetCrashed'], ['crashReport']]);
  assert.deepEqual(relayed, [[
    {
      kind: 'targetCrashed', fingerprint: 'a', targetId: 't-1', isRelayed: true,
    },
    4,
    { kind: 'crashReport', fingerprint: 'a', isRelayed: true },
  ]]);
  report(control.session, 't-2', true);
  assert.equal(relayed.length, 1);
  // The target has started and crashed again.
  nowMs = 2001;
  report(other?.session, 't-1', false);
  assert.deepEqual([other?.sent, older?.sent].map((sent) => sent?.length), [2, 3]);
  const started = createSession();
  publisher.onMessage(started.session, { kind: 'registrySubscribe' });
  assert.deepEqual(started.sent, ['crashReport', 'crashReport', 'crashReport', 'registryView']);
});

// Guards against entries that are told of crashes under a request that targets answer.
test('a request that was answered is cleared at control and at entries that understand it', () => {
  const relayed: [VmMessage, number | undefined][] = [];
  const publisher = new RegistryPublisher(
    new RegistryStore(() => 0, undefined, 0),
    () => true,
    (message, sinceVersion) => relayed.push([message, sinceVersion]),
    () => 0,
  );
  const [reporter, other, older] = ['00.4', '00.4', '00.3'].map((startId) => {
    const recording = createSession();
    Object.assign(recording.session, { peer: { ...VM, roles: ['entry'], startId } });
    publisher.onMessage(recording.session, { kind: 'registrySubscribe' });
    return recording;
  });
  const report: VmMessage = { kind: 'crashReport', fingerprint: 'a', isRelayed: true };
  const answered: VmMessage = { kind: 'requestAnswered', fingerprint: 'a', isRelayed: false };
  const controlSession = createSession().session;
  for (let count = 0; count < 4; count += 1) publisher.onMessage(controlSession, report);
  [reporter, other, older].forEach((entry) => entry?.sent.splice(0));
  if (reporter !== undefined) publisher.onMessage(reporter.session, answered);
  assert.deepEqual([reporter, other, older].map((entry) => entry?.sent), [[], ['requestAnswered'], []]);
  assert.deepEqual(relayed, [[{ ...answered, isRelayed: true }, 4]]);
  const started = createSession();
  publisher.onMessage(started.session, { kind: 'registrySubscribe' });
  assert.deepEqual(started.sent, ['registryView']);
  // Nothing is known of crashes any more, so that entries need not be told again.
  publisher.onMessage(controlSession, { ...answered, isRelayed: true });
  assert.deepEqual([other?.sent, relayed.length], [['requestAnswered'], 1]);
});

test('entries that subscribe at once share one encoded view, until it changes or gets old', () => {
  let nowMs = 1000;
  const store = new RegistryStore(() => nowMs, undefined, 0);
  const publisher = new RegistryPublisher(store, () => true, () => undefined, () => nowMs);
  const subscribe = (): Buffer | undefined => {
    const { session, frames } = createSession();
    publisher.onMessage(session, { kind: 'registrySubscribe' });
    return frames[0];
  };
  const first = subscribe();
  assert.equal(subscribe(), first);
  store.apply(1, { kind: 'evacuate', dataCentre: 'cork' }, true);
  const changed = subscribe();
  assert.notEqual(changed, first);
  assert.equal(subscribe(), changed);
  nowMs += 100;
  assert.notEqual(subscribe(), changed);
});

test('request limits reach all entries and control VMs, and an entry that subscribes later', (t) => {
  t.mock.timers.enable({ apis: ['setTimeout'] });
  const store = new RegistryStore(() => 0, undefined, 0);
  store.apply(1, {
    kind: 'announce',
    target: {
      id: 'i-1',
      service: 'lots',
      address: '10.0.0.1:80',
      dataCentre: 'cork',
      slots: 2,
      state: 'ready',
      bornAtMs: 7,
      sequence: 1,
      coldLeftMs: 0,
    },
  }, true);
  const relayed: VmMessage[] = [];
  const publisher = new RegistryPublisher(
    store,
    () => true,
    (message) => relayed.push(message),
    () => 0,
  );
  publisher.setRoster(ROSTER);
  const reporter = createSession();
  publisher.onMessage(reporter.session, { kind: 'registrySubscribe' });
  const notice = { targetId: 'i-1', bornAtMs: 7, requestsPerSecond: 1.5 };
  const unknown = [{ ...notice, bornAtMs: 6 }, { ...notice, targetId: 'i-2' }];
  publisher.onMessage(reporter.session, { kind: 'requestLimits', notices: [...unknown, notice], isRelayed: false });
  t.mock.timers.tick(100);
  const expected = { kind: 'requestLimits', notices: [notice], isRelayed: true };
  assert.deepEqual(relayed, [expected]);
  const frame = reporter.frames.at(-1)?.subarray(frameLayout.headerBytes) ?? Buffer.alloc(0);
  assert.deepEqual(decode(frame), expected);
  const late = createSession();
  publisher.onMessage(late.session, { kind: 'registrySubscribe' });
  assert.deepEqual(late.sent, ['registryView', 'roster', 'requestLimits']);
  // A relayed notice is not relayed again, and a withdrawn limit is forgotten.
  publisher.onMessage(reporter.session, { kind: 'requestLimits', notices: [{ targetId: 'i-1', bornAtMs: 7 }], isRelayed: true });
  t.mock.timers.tick(100);
  assert.equal(relayed.length, 1);
  const later = createSession();
  publisher.onMessage(later.session, { kind: 'registrySubscribe' });
  assert.deepEqual(later.sent, ['registryView', 'roster']);
});

// Guards against entries that take whole limits for themselves, as they are told of no others.
test('a control VM that knows no roster sends none to an entry that subscribes', () => {
  const store = new RegistryStore(() => 0, undefined, 0);
  const publisher = new RegistryPublisher(store, () => true, () => undefined, () => 0);
  const early = createSession();
  publisher.onMessage(early.session, { kind: 'registrySubscribe' });
  assert.deepEqual(early.sent, ['registryView']);
  publisher.setRoster(ROSTER);
  assert.deepEqual(early.sent, ['registryView', 'roster']);
});
