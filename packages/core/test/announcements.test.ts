import assert from 'node:assert/strict';
import { test } from 'node:test';

import applyRegistryChange from '../src/registry/applyRegistryChange';
import createRegistryState from '../src/registry/createRegistryState';
import findAnnouncementMistake from '../src/registry/findAnnouncementMistake';
import type RegisteredTarget from '../src/registry/RegisteredTarget';

const NOW_MS = 1_800_000_000_000;
const SOUND: RegisteredTarget = {
  id: 'i-1',
  service: 'lots',
  address: '10.0.0.1:8080',
  dataCentre: 'cork',
  slots: 4,
  state: 'ready',
  bornAtMs: NOW_MS - 5000,
  sequence: 3,
  coldLeftMs: 0,
};
const context = { dataCentres: new Set(['cork']), nowMs: NOW_MS };

function find(change: Partial<RegisteredTarget>): string | undefined {
  return findAnnouncementMistake({ ...SOUND, ...change }, context);
}

test('a sound announcement has no mistake', () => {
  const sound: Partial<RegisteredTarget>[] = [
    {}, { address: '127.0.0.1:1' }, { address: '[::1]:65535' }, { slots: 1 }, { slots: 4096 },
    { sequence: 0 }, { bornAtMs: 0 }, { id: 'i-7f3a91c2' }, { id: 'constructor' },
    // The clock of its machine has jumped.
    { bornAtMs: NOW_MS + 5000 },
  ];
  sound.forEach((change) => assert.equal(find(change), undefined, JSON.stringify(change)));
});

test('an announcement that no target can have sent has a mistake', () => {
  const odd: Partial<RegisteredTarget>[] = [
    { address: '10.0.0.1:0' }, { address: '10.0.0.1:65536' }, { address: '10.0.0.256:80' },
    { address: '224.0.0.1:80' }, { address: '0.1.2.3:80' }, { slots: 0 }, { slots: 2.5 },
    { slots: Infinity }, { slots: 1e9 }, { sequence: -1 }, { sequence: 2 ** 53 }, { sequence: 0.5 },
    { bornAtMs: -1 }, { bornAtMs: 1.5 }, { bornAtMs: 1e300 }, { bornAtMs: NOW_MS + 3_600_000 },
    { coldLeftMs: Infinity }, { dataCentre: 'nowhere' }, { id: '\0' }, { id: 'a b' },
    { id: '__proto__' }, { id: 'ä' },
  ];
  odd.forEach((change) => assert.notEqual(find(change), undefined, JSON.stringify(change)));
});

test('an id named like a property of every object is one like others', () => {
  const state = createRegistryState();
  applyRegistryChange(state, { kind: 'withdraw', targetId: 'constructor' });
  applyRegistryChange(state, {
    kind: 'expire', targetId: 'toString', bornAtMs: 0, sequence: 0,
  });
  assert.deepEqual(state, createRegistryState());
  const target = { ...SOUND, id: 'constructor' };
  applyRegistryChange(state, { kind: 'announce', target });
  assert.deepEqual(Object.keys(state.targets), ['constructor']);
});
