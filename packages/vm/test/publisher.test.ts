import assert from 'node:assert/strict';
import { test } from 'node:test';

import type VmMessage from '../src/messages/VmMessage';
import RegistryPublisher from '../src/registry/RegistryPublisher';
import RegistryStore from '../src/registry/RegistryStore';
import type VmSession from '../src/session/VmSession';

type Sent = VmMessage['kind'];

/** Creates a session that records the kinds of the messages sent over it. */
function createSession(): { session: VmSession; sent: Sent[] } {
  const sent: Sent[] = [];
  const session = { send: (message: VmMessage) => sent.push(message.kind) };
  return { session: session as unknown as VmSession, sent };
}

test('a crash report of an entry is relayed to control, a relayed one only to subscribers', () => {
  const relayed: VmMessage[] = [];
  const publisher = new RegistryPublisher(
    new RegistryStore(() => 0, undefined, 0),
    () => true,
    (message) => relayed.push(message),
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
