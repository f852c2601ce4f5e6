import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { Readable } from 'node:stream';
import { test, type TestContext } from 'node:test';

import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type AskLimits from '@guavayard/core/relay/AskLimits';
import relayLimits from '@guavayard/core/relay/relayLimits';
import type RelayHandler from '@guavayard/core/relay/RelayHandler';
import type RelayRequest from '@guavayard/core/relay/RelayRequest';
import type RelayRefusal from '@guavayard/core/relay/RelayRefusal';

import type VmLocation from '../src/registry/VmLocation';
import RelayClient from '../src/relay/RelayClient';
import RelayServer from '../src/relay/RelayServer';
import VmHub from '../src/session/VmHub';
import retryUntil from './support/retryUntil';

type Served = Parameters<ConstructorParameters<typeof RelayServer>[0]['serve']>[0];

const KEY = 'the key of all VMs';
const LARGE_BYTES = 600_000;
/** Limits of tests in which an entry answers, so that a busy machine does not end the request. */
const PATIENT: AskLimits = { nearAskMs: 5000, farAskMs: 5000, connectMs: 5000 };

interface Peer {
  readonly hub: VmHub;
  readonly location: VmLocation;
  readonly server: RelayServer;
  readonly served: Served[];
  refusal: RelayRefusal | undefined;
  isSilent: boolean;
}

async function startPeer(t: TestContext, name: string): Promise<Peer> {
  const location = {
    name, region: 'munster', dataCentre: `dc-${name}`, address: '127.0.0.1:1',
  };
  const hub = new VmHub(KEY, { ...location, startId: name, roles: ['entry'] });
  const served: Served[] = [];
  const server: RelayServer = new RelayServer({
    hub,
    decide: (_service, _version, respond) => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called on a message
      if (!peer.isSilent) respond(peer.refusal);
    },
    serve: (request) => served.push(request),
  });
  hub.netServer.listen(0, '127.0.0.1');
  await once(hub.netServer, 'listening');
  t.after(() => hub.close());
  const { port } = hub.netServer.address() as AddressInfo;
  const peer: Peer = {
    hub,
    location: { ...location, address: `127.0.0.1:${port}` },
    server,
    served,
    refusal: undefined,
    isSilent: false,
  };
  return peer;
}

interface Sent {
  readonly events: string[];
  readonly chunks: Buffer[];
  readonly dispatch: Dispatch;
}

interface Origin {
  readonly hub: VmHub;
  send: (
    body?: Buffer,
    change?: Partial<RelayRequest>,
    isPaused?: () => boolean,
    service?: string,
  ) => Sent;
}

function startOrigin(
  t: TestContext,
  peers: readonly Peer[],
  askLimits: AskLimits = PATIENT,
): Origin {
  const identity = {
    name: 'origin',
    region: 'munster',
    dataCentre: 'dc-origin',
    address: '127.0.0.1:1',
    startId: 'origin',
    roles: ['entry' as const],
  };
  const hub = new VmHub(KEY, identity);
  const client = new RelayClient({
    hub,
    identity,
    clock: () => performance.now(),
    askLimits,
    entries: () => peers.map(({ location }) => location),
    onRefusal: () => undefined,
  });
  t.after(() => {
    client.close();
    hub.close();
  });
  return {
    hub,
    send: (body, change = {}, isPaused = () => false, service = 'lots') => {
      const events: string[] = [];
      const chunks: Buffer[] = [];
      const handler: RelayHandler = {
        onGranted: (name) => events.push(`granted ${name}`),
        onHeaders: (status, headers) => events.push(`${status} ${headers['x-test']?.toString()}`),
        onData: (chunk) => {
          chunks.push(chunk);
          return !isPaused();
        },
        onEnd: () => events.push('end'),
        onRefused: (reason) => events.push(`refused ${reason}`),
        onFailure: ({ kind }, retryAfterMs) => events.push(`${kind} ${retryAfterMs}`),
      };
      const dispatch = client.send({
        head: {
          requestId: 'r-1',
          method: 'POST',
          path: '/lots/1?a=b',
          rawHeaders: ['Host', 'shop.example', 'X-A', '1', 'x-a', '2'],
          caller: '10.1.1.1',
          hasBody: body !== undefined,
          service,
          triedIds: ['t-1'],
        },
        takeAllowance: () => ({ permittedIds: ['t-2'], probes: 3 }),
        version: () => 3,
        deadlineMs: performance.now() + 5000,
        homeRegions: undefined,
        needsKeyCheck: false,
        openBody: () => (body === undefined
          ? null
          : Readable.from([body.subarray(0, 1000), body.subarray(1000)])),
        ...change,
      }, handler);
      return { events, chunks, dispatch };
    },
  };
}

async function readAll(stream: Readable): Promise<Buffer> {
  const chunks: Buffer[] = [];
  stream.on('data', (chunk: Buffer) => chunks.push(chunk));
  await once(stream, 'end');
  return Buffer.concat(chunks);
}

test('a request and its response cross to the other entry and back unchanged', async (t) => {
  const peer = await startPeer(t, 'b');
  const origin = startOrigin(t, [peer]);
  const body = Buffer.alloc(LARGE_BYTES, 'body ');
  const answer = Buffer.alloc(LARGE_BYTES, 'answer ');
  const sent = origin.send(body);
  await retryUntil(() => assert.equal(peer.served.length, 1));
  const [{ req, reply, head }] = peer.served as [Served];
  assert.deepEqual([req.method, req.url, req.headers['x-a']], ['POST', '/lots/1?a=b', '1, 2']);
  assert.deepEqual([head.triedIds, head.permittedIds, head.probes], [['t-1'], ['t-2'], 3]);
  assert.ok((await readAll(req)).equals(body));
  reply.start(200, { 'x-test': 'yes' });
  reply.write(answer);
  reply.end();
  await retryUntil(() => assert.deepEqual(sent.events, ['granted b', '200 yes', 'end']));
  assert.ok(Buffer.concat(sent.chunks).equals(answer));
  await retryUntil(() => assert.equal(peer.server.count, 0));
});

// An entry of an older build would pass the key on to the target, unchecked.
test('a request that needs a check of its key is not given to an entry of an older build', async (t) => {
  const peer = await startPeer(t, 'b');
  const current = await startPeer(t, 'c.5');
  const sent = startOrigin(t, [peer]).send(undefined, { needsKeyCheck: true });
  await retryUntil(() => assert.deepEqual(sent.events, ['refused version']));
  const other = startOrigin(t, [current]).send(undefined, { needsKeyCheck: true });
  await retryUntil(() => assert.equal(current.served.length, 1));
  assert.deepEqual([peer.served.length, other.events], [0, ['granted c.5']]);
});

test('a body is sent no faster than the other entry reads it', async (t) => {
  const peer = await startPeer(t, 'b');
  const origin = startOrigin(t, [peer]);
  let readBytes = 0;
  const body = new Readable({
    highWaterMark: 1000,
    read() {
      readBytes += 1000;
      this.push(readBytes > LARGE_BYTES ? null : Buffer.alloc(1000));
    },
  });
  const sent = origin.send(Buffer.alloc(1), { openBody: () => body });
  await retryUntil(() => assert.equal(peer.served.length, 1));
  await retryUntil(() => assert.ok(body.isPaused()));
  assert.ok(readBytes < 100_000, `${readBytes}`);
  assert.equal((await readAll((peer.served as [Served])[0].req)).length, LARGE_BYTES);
  assert.deepEqual(sent.events, ['granted b']);
});

test('a caller that reads slowly slows down the response', async (t) => {
  const peer = await startPeer(t, 'b');
  const origin = startOrigin(t, [peer]);
  let isPaused = true;
  const sent = origin.send(undefined, {}, () => isPaused);
  await retryUntil(() => assert.equal(peer.served.length, 1));
  const [{ reply }] = peer.served as [Served];
  let drained = 0;
  reply.onDrain(() => {
    drained += 1;
  });
  reply.start(200, {});
  assert.equal(reply.write(Buffer.alloc(100_000)), false);
  await retryUntil(() => assert.equal(Buffer.concat(sent.chunks).length, 100_000));
  assert.equal(drained, 0);
  isPaused = false;
  sent.dispatch.resume();
  await retryUntil(() => assert.equal(drained, 1));
});

test('an entry that refuses or does not answer is passed over', async (t) => {
  const peers = await Promise.all(['b', 'c', 'd'].map(async (name) => startPeer(t, name)));
  const origin = startOrigin(t, peers, relayLimits);
  const [first, second, third] = peers as [Peer, Peer, Peer];
  first.refusal = 'unreachable';
  second.isSilent = true;
  const sent = origin.send();
  await retryUntil(() => assert.deepEqual(sent.events, ['granted d']));
  await retryUntil(() => assert.equal(third.served.length, 1));
});

test('a request that no entry takes has been sent to none', async (t) => {
  const peers = await Promise.all(['b', 'c'].map(async (name) => startPeer(t, name)));
  peers.forEach((peer) => Object.assign(peer, { refusal: 'unreachable' }));
  const origin = startOrigin(t, peers, relayLimits);
  const sent = origin.send();
  await retryUntil(() => assert.deepEqual(sent.events, ['refused unreachable']));
  assert.deepEqual(peers.flatMap(({ served }) => served), []);
  // They are not asked again for the same service, but for others.
  assert.deepEqual(origin.send().events, ['refused unreachable']);
  peers.forEach((peer) => Object.assign(peer, { refusal: undefined }));
  const other = origin.send(undefined, {}, undefined, 'holds');
  await retryUntil(() => assert.deepEqual(other.events.length, 1));
});

test('without other entries, a request is refused at once', (t) => {
  const origin = startOrigin(t, []);
  assert.deepEqual(origin.send().events, ['refused no entry']);
});

test('an entry that cannot be connected to is passed over', async (t) => {
  const peer = await startPeer(t, 'b');
  const origin = startOrigin(t, [{ ...peer, location: { ...peer.location, address: '127.0.0.1:1' } }], relayLimits);
  const sent = origin.send();
  await retryUntil(() => assert.deepEqual(sent.events, ['refused no answer']));
});

test('a request whose caller leaves ends at the other entry', async (t) => {
  const peer = await startPeer(t, 'b');
  const origin = startOrigin(t, [peer]);
  const sent = origin.send(Buffer.alloc(10));
  await retryUntil(() => assert.equal(peer.served.length, 1));
  let isClosed = false;
  (peer.served as [Served])[0].reply.onClose(() => {
    isClosed = true;
  });
  sent.dispatch.abort({ kind: 'callerGone', detail: '' });
  await retryUntil(() => assert.ok(isClosed));
});

test('a lost session ends the request on both sides, with an unknown outcome', async (t) => {
  const peer = await startPeer(t, 'b');
  const origin = startOrigin(t, [peer]);
  const sent = origin.send();
  await retryUntil(() => assert.equal(peer.served.length, 1));
  origin.hub.disconnect(peer.location.address);
  await retryUntil(() => assert.deepEqual(sent.events, ['granted b', 'relayFailed undefined']));
  await retryUntil(() => assert.equal(peer.server.count, 0));
});

test('a failure reaches the entry that relayed the request, with the time to return', async (t) => {
  const peer = await startPeer(t, 'b');
  const origin = startOrigin(t, [peer]);
  const sent = origin.send();
  await retryUntil(() => assert.equal(peer.served.length, 1));
  const { reply } = (peer.served as [Served])[0];
  assert.equal(reply.refuse({ kind: 'overloaded', detail: 'full' }, 250), 503);
  await retryUntil(() => assert.deepEqual(sent.events, ['granted b', 'overloaded 250']));
});

test('an entry that stops takes nothing new and ends once it has answered', async (t) => {
  const peer = await startPeer(t, 'b');
  const origin = startOrigin(t, [peer]);
  const sent = origin.send();
  await retryUntil(() => assert.equal(peer.served.length, 1));
  peer.server.startStopping();
  let isIdle = false;
  const idle = peer.server.awaitIdle().then(() => {
    isIdle = true;
  });
  const late = origin.send();
  await retryUntil(() => assert.deepEqual(late.events, ['refused stopping']));
  assert.equal(isIdle, false);
  const [{ reply }] = peer.served as [Served];
  reply.start(200, {});
  reply.end(Buffer.from('answer'));
  await idle;
  await retryUntil(() => assert.equal(Buffer.concat(sent.chunks).toString(), 'answer'));
});
