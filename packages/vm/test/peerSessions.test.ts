import assert from 'node:assert/strict';
import { test } from 'node:test';

import PeerSessions from '../src/relay/PeerSessions';
import type VmHub from '../src/session/VmHub';
import type VmSession from '../src/session/VmSession';
import createPeer from './support/createPeer';

// Guards against waits for a session while one is open, as the newer of two has closed.
test('the older of two sessions with an entry relays once the newer has closed', (t) => {
  const sessions = new PeerSessions({ connect() {} } as unknown as VmHub, () => 0);
  t.after(() => sessions.close());
  const peer = createPeer('b', ['entry']);
  const [older, newer] = [{ peer }, { peer }] as unknown as [VmSession, VmSession];
  sessions.onOpen(older, peer);
  sessions.onOpen(newer, peer);
  assert.equal(sessions.find('b'), newer);
  sessions.onClose(newer);
  assert.equal(sessions.find('b'), older);
  const used: VmSession[] = [];
  sessions.use(peer, (session) => used.push(session));
  assert.deepEqual(used, [older]);
  sessions.onClose(older);
  assert.equal(sessions.find('b'), undefined);
});

// Guards against requests that are kept for as long as an entry cannot be reached.
test('a session that opens late is not passed to requests that wait no more', (t) => {
  const sessions = new PeerSessions({ connect() {} } as unknown as VmHub, () => 0);
  t.after(() => sessions.close());
  const peer = createPeer('b', ['entry']);
  const used: string[] = [];
  const stopWaiting = sessions.use(peer, () => used.push('given up'));
  sessions.use(peer, () => used.push('waiting'));
  stopWaiting();
  sessions.onOpen({ peer } as unknown as VmSession, peer);
  assert.deepEqual(used, ['waiting']);
});
