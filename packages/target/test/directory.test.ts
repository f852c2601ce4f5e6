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

/** Directories of entries that tell each other what a test lets through. */
class Network {
  nowMs = 0;

  readonly effects = new Map<string, DirectoryEffect[]>();

  create(name: string): TargetDirectory {
    const directory = new TargetDirectory(() => this.nowMs, name, NOBODY);
    const told: DirectoryEffect[] = [];
    this.effects.set(name, told);
    directory.setListener((effects) => told.push(...effects));
    return directory;
  }

  /** Takes what an entry has published so far. */
  published(name: string): TargetRecord[] {
    const told = this.effects.get(name)?.splice(0) ?? [];
    return told.flatMap((effect) => (effect.kind === 'publish' ? effect.record : []));
  }
}

function stateOf(directory: TargetDirectory): string {
  return directory.all().map((target) => `${target.startId} ${target.state}`).join();
}

const lateNews = [
  { name: 'a replaced start', late: READY, then: RESTARTED },
  { name: 'an overtaken sequence', late: { ...READY, sequence: 1 }, then: { ...DRAINING, sequence: 2 } },
  { name: 'a withdrawn start', late: READY, then: undefined },
];

lateNews.forEach(({ name, late, then }) => {
  test(`${name} that is announced late does not come back`, () => {
    const network = new Network();
    const [first, second] = [network.create('entry-1'), network.create('entry-2')];
    first.announce(late).unwrap();
    const old = network.published('entry-1');
    second.takeRecords('entry-1', old);
    if (then === undefined) second.withdraw(late.id);
    else second.announce(then).unwrap();
    const expected = stateOf(second);
    second.takeRecords('entry-1', old);
    assert.equal(stateOf(second), expected);
    first.takeRecords('entry-2', network.published('entry-2'));
    assert.equal(first.announce(late).err, true);
    assert.equal(stateOf(first), expected);
  });
});

test('heartbeats stay with the entry that receives them', () => {
  const network = new Network();
  const [first, second] = [network.create('entry-1'), network.create('entry-2')];
  first.announce(READY).unwrap();
  second.takeRecords('entry-1', network.published('entry-1'));
  first.announce(READY).unwrap();
  second.announce(READY).unwrap();
  assert.deepEqual(network.effects.get('entry-1'), []);
  assert.deepEqual(network.effects.get('entry-2'), [{
    kind: 'heartbeat', to: 'entry-1', targetId: 'target-1', startId: 'start-1',
  }]);
});

test('a copy outlives its lost holder by the time to live only', () => {
  const network = new Network();
  const [first, second] = [network.create('entry-1'), network.create('entry-2')];
  first.announce(READY).unwrap();
  second.takeRecords('entry-1', network.published('entry-1'));
  network.nowMs = 4000;
  second.takeVouch('entry-1');
  second.forgetEntry('entry-1');
  network.nowMs = 4000 + TIME_TO_LIVE_MS - 1;
  second.takeVouch('entry-1');
  second.expire();
  assert.equal(stateOf(second), 'start-1 ready');
  network.nowMs += 1;
  second.expire();
  assert.equal(stateOf(second), '');
});

test('an entry that has the heartbeats takes over from a lost holder', () => {
  const network = new Network();
  const [first, second, third] = ['entry-1', 'entry-2', 'entry-3'].map((name) => network.create(name));
  if (first === undefined || second === undefined || third === undefined) throw new Error('none');
  first.announce(READY).unwrap();
  const records = network.published('entry-1');
  second.takeRecords('entry-1', records);
  third.takeRecords('entry-1', records);
  // Its session stays open, but it is silent.
  network.nowMs = directoryTimes.maxVouchAgeMs + 1;
  second.announce(READY).unwrap();
  third.takeRecords('entry-2', network.published('entry-2'));
  network.nowMs = TIME_TO_LIVE_MS;
  third.takeVouch('entry-2');
  // The former holder's heartbeats have ended, which no longer concerns the target.
  third.takeRelease('entry-1', ['target-1'], true);
  third.expire();
  assert.equal(stateOf(third), 'start-1 ready');
});

test('a holder that restarts without memory takes up the version that others know', () => {
  const network = new Network();
  const second = network.create('entry-2');
  const former = network.create('entry-1');
  former.announce(READY).unwrap();
  former.announce(DRAINING).unwrap();
  second.takeRecords('entry-1', network.published('entry-1'));
  const restarted = network.create('entry-1');
  restarted.announce(READY).unwrap();
  second.takeHeld('entry-1', restarted.held());
  assert.equal(stateOf(second), 'start-1 draining');
  const replies = network.effects.get('entry-2')?.flatMap((effect) => (
    effect.kind === 'reply' ? effect.record : []
  )) ?? [];
  restarted.takeRecords('entry-2', replies);
  network.published('entry-1');
  restarted.announce(READY).unwrap();
  second.takeRecords('entry-1', network.published('entry-1'));
  assert.equal(stateOf(second), 'start-1 ready');
});

test('a silent target expires and comes back with its heartbeats', () => {
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

test(`news in any order and more than once gives the same target, seed ${SEED}`, () => {
  const names = ['entry-1', 'entry-2', 'entry-3'];
  const step = fc.record({
    entry: fc.nat({ max: 2 }),
    announcement: fc.constantFrom(READY, DRAINING, RESTARTED, undefined),
    heardBy: fc.nat({ max: 2 }),
  });
  const order = fc.array(fc.nat(), { minLength: 60, maxLength: 60 });
  fc.assert(fc.property(fc.array(step, { minLength: 1, maxLength: 10 }), order, (steps, picks) => {
    const network = new Network();
    const entries = names.map((name) => network.create(name));
    const news: { from: string; record: TargetRecord }[] = [];
    steps.forEach(({ entry, announcement, heardBy }) => {
      const from = names[entry] ?? '';
      if (announcement === undefined) entries[entry]?.withdraw('target-1');
      else entries[entry]?.announce(announcement);
      network.published(from).forEach((record) => {
        news.push({ from, record });
        entries[heardBy]?.takeRecords(from, [record]);
      });
    });
    entries.forEach((directory, index) => {
      picks.slice(index * 20, index * 20 + 20).forEach((pick) => {
        const item = news[pick % news.length];
        if (item !== undefined) directory.takeRecords(item.from, [item.record]);
      });
      const all = index % 2 === 0 ? news : [...news].reverse();
      all.forEach(({ from, record }) => directory.takeRecords(from, [record]));
    });
    assert.equal(new Set(entries.map(stateOf)).size, 1);
  }), { seed: SEED, numRuns: 500 });
});

test('a warm start is ready at every entry and a new start is cold again', () => {
  const network = new Network();
  const [owner, other] = [network.create('entry-1'), network.create('entry-2')];
  const cold = { ...READY, state: 'cold' as const };
  other.announce(cold).unwrap();
  owner.takeRecords('entry-2', network.published('entry-2'));
  owner.declareWarm(cold);
  other.takeRecords('entry-1', network.published('entry-1'));
  // The target goes on saying that it is cold.
  other.announce(cold).unwrap();
  assert.deepEqual([stateOf(owner), stateOf(other)], ['start-1 ready', 'start-1 ready']);
  // A change that another entry took at the same moment replaces the declaration.
  owner.takeRecords('entry-2', [{
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
