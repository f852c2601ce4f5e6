import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import type FakeResponse from './support/FakeResponse';
import GatewayRig from './support/GatewayRig';

const TARGETS = 6;
/** Interval of the requests, in milliseconds, a fraction of the time that a target takes. */
const INTERVAL_MS = 50;

/** Creates an entry with open connections to some targets, all of which refuse new ones. */
function createCutRig(t: TestContext): GatewayRig {
  const rig = new GatewayRig(t, { isIdempotent: false });
  for (let index = 0; index < TARGETS; index += 1) rig.addTarget(`t-${index}`);
  rig.request();
  rig.run(400);
  rig.targets.forEach((target) => Object.assign(target, { refusesConnections: true }));
  return rig;
}

/** Sends pairs of requests, which share the readings of one probe. */
function sendPairs(rig: GatewayRig, pairs: number): FakeResponse[] {
  return Array.from({ length: pairs }, () => {
    const pair = [rig.request(), rig.request()];
    rig.run(INTERVAL_MS);
    return pair;
  }).flat();
}

function count(responses: readonly FakeResponse[], wanted: number): number {
  return responses.filter(({ status }) => status === wanted).length;
}

test('requests are not risked on new connections once targets refuse them', (t) => {
  const rig = createCutRig(t);
  sendPairs(rig, 10);
  const responses = sendPairs(rig, 20);
  rig.run(2000);
  assert.equal(count(responses, 200), responses.length);
  assert.ok(rig.relay.sent.length > 0, 'some are relayed');
  assert.ok(responses.some(({ body }) => body !== 'relayed'), 'open connections are used');
});

test('an entry that can open no connections relays requests that would be refused on arrival', (t) => {
  const rig = createCutRig(t);
  sendPairs(rig, 10);
  const responses = Array.from({ length: 40 }, () => rig.request());
  rig.run(2000);
  assert.equal(count(responses, 200), responses.length);
});

test('new connections are used again soon after targets take them', (t) => {
  const rig = createCutRig(t);
  sendPairs(rig, 20);
  rig.targets.forEach((target) => Object.assign(target, { refusesConnections: false }));
  rig.run(1000);
  const relayed = rig.relay.sent.length;
  const responses = sendPairs(rig, 20);
  rig.run(2000);
  assert.equal(count(responses, 200), responses.length);
  assert.equal(rig.relay.sent.length, relayed);
});

test('one target that refuses connections keeps nobody from opening them to others', (t) => {
  const rig = new GatewayRig(t, { isIdempotent: false });
  for (let index = 0; index < TARGETS; index += 1) rig.addTarget(`t-${index}`);
  Object.assign(rig.targets[0] ?? {}, { refusesConnections: true });
  const responses = sendPairs(rig, 30);
  rig.run(2000);
  assert.equal(count(responses, 200), responses.length);
  assert.equal(rig.relay.sent.length, 0);
});
