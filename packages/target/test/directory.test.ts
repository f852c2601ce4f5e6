import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import type TargetAnnouncement from '@guavayard/core/types/TargetAnnouncement';
import type TargetRecord from '@guavayard/core/types/TargetRecord';

import type DirectoryEffect from '../src/directory/DirectoryEffect';
import directoryTimes from '../src/directory/directoryTimes';
import TargetDirectory from '../src/TargetDirectory';

const SEED = 7;
const TIME_TO_LIVE_MS = 5000;
const NOBODY = { epoch: () => 0, ownerOf: () => undefined };

const READY: TargetAnnouncement = {
  id: 'target-1',
  service: 'listing',
  dataCentre: 'munster-1',
  address: '127.0.0.1:1',
  slots: 2,
  connectionLimit: 260,
  startId: 'start-1',
  state: 'ready',
  timeToLiveMs: TIME_TO_LIVE_MS,
};
const DRAINING = { ...READY, state: 'draining' as const };
const RESTARTED = { ...READY, startId: 'start-2', state: 'cold' as const };

/** Directories of several entries; the test decides which updates reach which entry. */
class Network {
  nowMs = 0;

  readonly effects = new Map<string, DirectoryEffect[]>();

  create(name: string): TargetDirectory {
    const directory = new TargetDirectory(() => this.nowMs, name, NOBODY);
    const sent: DirectoryEffect[] = [];
    this.effects.set(name, sent);
    directory.setListener((effects) => sent.push(...effects));
    return directory;
  }

  /** Removes and returns the records that an entry has published so far. */
  published(name: string): TargetRecord[] {
    const sent = this.effects.get(name)?.splice(0) ?? [];
    return sent.flatMap((effect) => (effect.kind === 'publish' ? effect.record : []));
  }
}

function stateOf(directory: TargetDirectory): string {
  return directory.all().map((target) => `${target.startId} ${target.state}`).join();
}

const staleUpdates = [
  { name: 'a replaced incarnation', late: READY, then: RESTARTED },
  { name: 'an older sequence', late: { ...READY, sequence: 1 }, then: { ...DRAINING, sequence: 2 } },
  { name: 'a withdrawn incarnation', late: READY, then: undefined },
];

staleUpdates.forEach(({ name, late, then }) => {
  test(`${name} that is announced late is not revived`, () => {
    const network = new Network();
    const [first, second] = [network.create('entry-1'), network.create('entry-2')];
    first.announce(late).unwrap();
    const old = network.published('entry-1');
    second.receiveRecords('entry-1', old);
    if (then === undefined) second.withdraw(late.id);
    else second.announce(then).unwrap();
    const expected = stateOf(second);
    second.receiveRecords('entry-1', old);
    assert.equal(stateOf(second), expected);
    first.receiveRecords('entry-2', network.published('entry-2'));
    assert.equal(first.announce(late).err, true);
    assert.equal(stateOf(first), expected);
  });
});

test('heartbeats go to the holder only, and other entries forward theirs to it', () => {
  const network = new Network();
  const [first, second] = [network.create('entry-1'), network.create('entry-2')];
  first.announce(READY).unwrap();
  second.receiveRecords('entry-1', network.published('entry-1'));
  first.announce(READY).unwrap();
  second.announce(READY).unwrap();
  assert.deepEqual(network.effects.get('entry-1'), []);
  assert.deepEqual(network.effects.get('entry-2'), [{
    kind: 'heartbeat', to: 'entry-1', targetId: 'target-1', startId: 'start-1',
  }]);
});

test('a copy outlives its lost holder by no more than the time to live', () => {
  const network = new Network();
  const [first, second] = [network.create('entry-1'), network.create('entry-2')];
  first.announce(READY).unwrap();
  second.receiveRecords('entry-1', network.published('entry-1'));
  network.nowMs = 4000;
  second.receiveConfirmation('entry-1');
  second.handleEntryClose('entry-1');
  network.nowMs = 4000 + TIME_TO_LIVE_MS - 1;
  second.receiveConfirmation('entry-1');
  second.expire();
  assert.equal(stateOf(second), 'start-1 ready');
  network.nowMs += 1;
  second.expire();
  assert.equal(stateOf(second), '');
});

test('an entry that receives the heartbeats takes over from a lost holder', () => {
  const network = new Network();
  const [first, second, third] = ['entry-1', 'entry-2', 'entry-3'].map((name) => network.create(name));
  if (first === undefined || second === undefined || third === undefined) throw new Error('none');
  first.announce(READY).unwrap();
  const records = network.published('entry-1');
  second.receiveRecords('entry-1', records);
  third.receiveRecords('entry-1', records);
  // The session of the holder stays open, but its confirmations have stopped.
  network.nowMs = directoryTimes.maxConfirmationAgeMs + 1;
  second.announce(READY).unwrap();
  third.receiveRecords('entry-2', network.published('entry-2'));
  network.nowMs = TIME_TO_LIVE_MS;
  third.receiveConfirmation('entry-2');
  // The former holder's release must not affect the target, which has a new holder.
  third.receiveRelease('entry-1', ['target-1'], true);
  third.expire();
  assert.equal(stateOf(third), 'start-1 ready');
});

test('a holder that restarts without state adopts the version known to others', () => {
  const network = new Network();
  const second = network.create('entry-2');
  const former = network.create('entry-1');
  former.announce(READY).unwrap();
  former.announce(DRAINING).unwrap();
  second.receiveRecords('entry-1', network.published('entry-1'));
  const restarted = network.create('entry-1');
  restarted.announce(READY).unwrap();
  second.receiveHeldRecords('entry-1', restarted.held());
  assert.equal(stateOf(second), 'start-1 draining');
  const replies = network.effects.get('entry-2')?.flatMap((effect) => (
    effect.kind === 'reply' ? effect.record : []
  )) ?? [];
  restarted.receiveRecords('entry-2', replies);
  network.published('entry-1');
  restarted.announce(READY).unwrap();
  second.receiveRecords('entry-1', network.published('entry-1'));
  assert.equal(stateOf(second), 'start-1 ready');
});

test('a target without heartbeats expires and returns when they resume', () => {
  const network = new Network();
  const first = network.create('entry-1');
  first.announce(READY).unwrap();
  network.nowMs = TIME_TO_LIVE_MS;
  first.expire();
  assert.equal(stateOf(first), '');
  assert.deepEqual(network.effects.get('entry-1')?.at(-1), {
    kind: 'release', targetId: 'target-1', isExpired: true,
  });
  first.announce(READY).unwrap();
  assert.equal(stateOf(first), 'start-1 ready');
});

test(`updates converge in any order and with duplicates, seed ${SEED}`, () => {
  const names = ['entry-1', 'entry-2', 'entry-3'];
  const step = fc.record({
    entry: fc.nat({ max: 2 }),
    announcement: fc.constantFrom(READY, DRAINING, RESTARTED, undefined),
    receivedBy: fc.nat({ max: 2 }),
  });
  const order = fc.array(fc.nat(), { minLength: 60, maxLength: 60 });
  fc.assert(fc.property(fc.array(step, { minLength: 1, maxLength: 10 }), order, (steps, picks) => {
    const network = new Network();
    const entries = names.map((name) => network.create(name));
    const updates: { from: string; record: TargetRecord }[] = [];
    steps.forEach(({ entry, announcement, receivedBy }) => {
      const from = names[entry] ?? '';
      if (announcement === undefined) entries[entry]?.withdraw('target-1');
      else entries[entry]?.announce(announcement);
      network.published(from).forEach((record) => {
        updates.push({ from, record });
        entries[receivedBy]?.receiveRecords(from, [record]);
      });
    });
    entries.forEach((directory, index) => {
      picks.slice(index * 20, index * 20 + 20).forEach((pick) => {
        const item = updates[pick % updates.length];
        if (item !== undefined) directory.receiveRecords(item.from, [item.record]);
      });
      const all = index % 2 === 0 ? updates : [...updates].reverse();
      all.forEach(({ from, record }) => directory.receiveRecords(from, [record]));
    });
    assert.equal(new Set(entries.map(stateOf)).size, 1);
  }), { seed: SEED, numRuns: 500 });
});

test('a warm incarnation is ready at every entry and a new one is cold again', () => {
  const network = new Network();
  const [owner, other] = [network.create('entry-1'), network.create('entry-2')];
  const cold = { ...READY, state: 'cold' as const };
  other.announce(cold).unwrap();
  owner.receiveRecords('entry-2', network.published('entry-2'));
  owner.declareWarm(cold);
  other.receiveRecords('entry-1', network.published('entry-1'));
  // The target still announces itself as cold.
  other.announce(cold).unwrap();
  assert.deepEqual([stateOf(owner), stateOf(other)], ['start-1 ready', 'start-1 ready']);
  // A concurrent change accepted by another entry replaces the declaration.
  owner.receiveRecords('entry-2', [{
    announcement: { ...cold, slots: 3 },
    generation: 1,
    sequence: 9,
    claim: 0,
    holder: 'entry-2',
    isWarm: false,
    isWithdrawn: false,
    retiredStartIds: [],
  }]);
  assert.equal(stateOf(owner), 'start-1 cold');
  owner.expire();
  assert.equal(stateOf(owner), 'start-1 ready');
  owner.announce(RESTARTED).unwrap();
  assert.equal(stateOf(owner), 'start-2 cold');
});
