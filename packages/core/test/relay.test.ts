import assert from 'node:assert/strict';
import { test } from 'node:test';

import AvoidedPeers from '../src/relay/AvoidedPeers';
import avoidPeer from '../src/relay/avoidPeer';
import type EntryPeer from '../src/relay/EntryPeer';
import rankPeers from '../src/relay/rankPeers';
import relayLimits from '../src/relay/relayLimits';

const REGIONS = {
  cork: 'munster', yard: 'munster', dublin: 'leinster', galway: 'connacht',
};

function createEntries(perDataCentre: number): EntryPeer[] {
  return Object.entries(REGIONS).flatMap(([dataCentre, region]) => (
    Array.from({ length: perDataCentre }, (_, index) => (
      { name: `${dataCentre}-${index}`, region, dataCentre }))));
}

type Context = Parameters<typeof rankPeers>[1];

function createContext(own: EntryPeer, change: Partial<Context> = {}): Context {
  return {
    own,
    homeRegions: undefined,
    avoided: new Map(),
    inProgress: new Map(),
    nowMs: 0,
    ...change,
  };
}

const entries = createEntries(5);
const [own] = entries as [EntryPeer];

test('near entries are asked first, and those of several data centres', () => {
  const asked = rankPeers(entries, createContext(own)).map(({ dataCentre }) => dataCentre);
  assert.equal(asked.length, relayLimits.maxAsked);
  assert.deepEqual(asked.slice(0, 4), ['cork', 'cork', 'yard', 'yard']);
  assert.ok(!rankPeers(entries, createContext(own)).some(({ name }) => name === own.name));
});

test('a request with home regions is sent nowhere else', () => {
  const asked = rankPeers(entries, createContext(own, { homeRegions: ['leinster'] }));
  assert.deepEqual(new Set(asked.map(({ region }) => region)), new Set(['leinster']));
});

test('an entry that refused is left out until its time is over', () => {
  const [first] = rankPeers(entries, createContext(own)) as [EntryPeer];
  const avoided = new Map([[first.name, avoidPeer('unreachable', 0)]]);
  const names = (nowMs: number): string[] => (
    rankPeers(entries, createContext(own, { avoided, nowMs })).map(({ name }) => name));
  assert.ok(!names(relayLimits.firmAvoidMs - 1).includes(first.name));
  assert.ok(names(relayLimits.firmAvoidMs).includes(first.name));
});

// Guards against requests that are refused for a second after the other entries are fine again.
test('entries that have all refused are asked again soon, a few at a time', () => {
  const avoided = new AvoidedPeers();
  entries.forEach(({ name }, index) => avoided.record(name, 'lots', 'unreachable', index));
  const rank = (nowMs: number): EntryPeer[] => (
    rankPeers(entries, createContext(own, { avoided: avoided.list('lots', nowMs), nowMs })));
  const { firmAskAgainMs, maxAskedAgain } = relayLimits;
  assert.deepEqual(rank(firmAskAgainMs), []);
  assert.deepEqual(rank(firmAskAgainMs + 5), entries.slice(1, 1 + maxAskedAgain));
});

test('an entry that has taken a request is avoided no more', () => {
  const avoided = new AvoidedPeers();
  entries.forEach(({ name }) => avoided.record(name, 'lots', 'unreachable', 0));
  const [, taker] = entries as [EntryPeer, EntryPeer];
  avoided.forget(taker.name, 'lots');
  assert.deepEqual(
    rankPeers(entries, createContext(own, { avoided: avoided.list('lots', 1), nowMs: 1 })),
    [taker],
  );
});

test('an entry that was busy or silent is asked only if no other is left', () => {
  const [first, second] = rankPeers(entries, createContext(own)) as [EntryPeer, EntryPeer];
  const avoided = new Map([
    [first.name, avoidPeer('busy', 0)], [second.name, avoidPeer('no answer', 0)],
  ]);
  const names = rankPeers(entries, createContext(own, { avoided })).map(({ name }) => name);
  assert.ok(!names.includes(first.name) && !names.includes(second.name));
  const alone = [own, first];
  assert.deepEqual(rankPeers(alone, createContext(own, { avoided })), [first]);
});

test('of the preferred entries, the one with the fewest requests is asked first', () => {
  const [first, second] = rankPeers(entries, createContext(own)) as [EntryPeer, EntryPeer];
  const inProgress = new Map([[first.name, 3], [second.name, 2]]);
  const [next] = rankPeers(entries, createContext(own, { inProgress }));
  assert.ok(next !== undefined && next.name !== first.name && next.name !== second.name);
});

test('the entries of a data centre that is cut off as a whole spread over the others', () => {
  const large = createEntries(35);
  const cut = large.filter(({ dataCentre }) => dataCentre === 'cork');
  const avoided = new Map(cut.map(({ name }) => [name, avoidPeer('unreachable', 0)]));
  const counts = new Map<string, number>();
  cut.forEach((entry) => {
    const [first] = rankPeers(large, createContext(entry, { avoided }));
    counts.set(first?.name ?? '', (counts.get(first?.name ?? '') ?? 0) + 1);
    assert.equal(first?.dataCentre, 'yard');
  });
  assert.ok(Math.max(...counts.values()) <= 5, JSON.stringify([...counts]));
});
