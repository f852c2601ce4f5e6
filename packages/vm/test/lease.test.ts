import assert from 'node:assert/strict';
import { test } from 'node:test';

import createElapsedClock from '@guavayard/core/clock/createElapsedClock';
import Configuration from '@guavayard/core/types/Configuration';
import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

import ControlSubscription from '../src/entry/ControlSubscription';
import type VmMessage from '../src/messages/VmMessage';
import VmHub from '../src/session/VmHub';
import type VmIdentity from '../src/session/VmIdentity';
import type VmSession from '../src/session/VmSession';

const LEASE_MS = 4000;

const IDENTITY: VmIdentity = {
  name: 'entry-1',
  region: 'munster',
  dataCentre: 'munster-1',
  startId: 'start',
  roles: ['entry'],
  address: '127.0.0.1:1',
};

const LEADER: VmIdentity = { ...IDENTITY, name: 'control-1', roles: ['control'] };

const SESSION = { send: () => undefined } as unknown as VmSession;

/** A hub whose only session is with the leader. It records the nonces of lease requests. */
class FakeHub extends VmHub {
  readonly nonces: string[] = [];

  private readonly names = [LEADER.name];

  override send(_vmName: string, message: VmMessage): boolean {
    if (message.kind === 'leaseRequest') this.nonces.push(message.nonce);
    return true;
  }

  override namesOf(): string[] {
    return this.names;
  }
}

interface Entry {
  readonly subscription: ControlSubscription;
  readonly hub: FakeHub;
  readonly time: { nowMs: number; suspendedMs: number };
}

function createEntry(t: { after: (run: () => void) => void }): Entry {
  // `nowMs` is the steady clock, which stands still during a suspend.
  const time = { nowMs: 0, suspendedMs: 0 };
  const hub = new FakeHub('a key', IDENTITY);
  const subscription = new ControlSubscription({
    hub,
    identity: IDENTITY,
    clock: createElapsedClock({
      steadyMs: () => time.nowMs,
      timeOfDayMs: () => time.nowMs + time.suspendedMs,
      uptimeMs: () => time.nowMs + time.suspendedMs,
    }),
    listener: { onConfiguration: () => undefined, onMembership: () => undefined },
  });
  t.after(() => subscription.close());
  subscription.onOpen(SESSION, LEADER);
  return { subscription, hub, time };
}

function createVersion(version: number): VersionedConfiguration {
  return { version, configuration: Configuration.parse({}) };
}

function heldVersion({ subscription }: Entry): number | undefined {
  return subscription.latest?.version;
}

function grant({ subscription, hub }: Entry, version: number, held?: VersionedConfiguration): void {
  const nonce = hub.nonces.at(-1) ?? '';
  subscription.onMessage(SESSION, {
    kind: 'leaseGrant', nonce, version, leader: LEADER.name, configuration: held,
  });
}

test('the lease starts when the request is sent', (t) => {
  const entry = createEntry(t);
  assert.equal(heldVersion(entry), undefined);
  entry.time.nowMs = 1500;
  grant(entry, 1, createVersion(1));
  entry.time.nowMs = LEASE_MS - 1;
  assert.equal(heldVersion(entry), 1);
  entry.time.nowMs = LEASE_MS;
  assert.equal(heldVersion(entry), undefined);
});

test('a lease runs out while the VM is suspended', (t) => {
  const entry = createEntry(t);
  grant(entry, 1, createVersion(1));
  entry.time.nowMs = 100;
  entry.time.suspendedMs = LEASE_MS - 101;
  assert.equal(heldVersion(entry), 1);
  entry.time.suspendedMs = LEASE_MS;
  assert.equal(heldVersion(entry), undefined);
});

test('a grant for an unknown nonce is ignored', (t) => {
  const entry = createEntry(t);
  const { subscription } = entry;
  subscription.onMessage(SESSION, {
    kind: 'leaseGrant', nonce: 'of another start', version: 1, leader: 'control-1', configuration: createVersion(1),
  });
  assert.equal(subscription.latest, undefined);
});

test('an entry stops dispatching when a grant confirms a version that it does not hold', (t) => {
  const entry = createEntry(t);
  grant(entry, 1, createVersion(1));
  entry.time.nowMs = 1000;
  entry.subscription.renewIfDue();
  grant(entry, 2);
  assert.equal(heldVersion(entry), undefined);
  entry.subscription.onMessage(SESSION, { kind: 'configuration', latest: createVersion(2) });
  assert.equal(heldVersion(entry), 2);
});

test('an older version never replaces a newer one', (t) => {
  const entry = createEntry(t);
  grant(entry, 2, createVersion(2));
  entry.subscription.onMessage(SESSION, { kind: 'configuration', latest: createVersion(1) });
  assert.equal(heldVersion(entry), 2);
  entry.time.nowMs = 1000;
  entry.subscription.renewIfDue();
  grant(entry, 1, createVersion(1));
  assert.equal(heldVersion(entry), 2);
});
