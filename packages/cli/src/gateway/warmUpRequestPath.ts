import { once } from 'node:events';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';

import { createLogger } from 'bunyan';

import CallerListener from '@guavayard/caller/CallerListener';
import ByteBudget from '@guavayard/core/limits/ByteBudget';
import type Declaration from '@guavayard/core/registry/Declaration';
import CrashWatch from '@guavayard/gateway/CrashWatch';
import GatewayHandler from '@guavayard/gateway/GatewayHandler';
import KeyGate from '@guavayard/gateway/KeyGate';
import Placement from '@guavayard/gateway/Placement';
import RequestLog from '@guavayard/gateway/RequestLog';
import TargetPool from '@guavayard/gateway/TargetPool';
import TargetProber from '@guavayard/gateway/TargetProber';
import PlatformDialect from '@guavayard/platform/PlatformDialect';
import WarmUpTarget from '@guavayard/platform/WarmUpTarget';
import UndiciTargetSender from '@guavayard/target/UndiciTargetSender';

import closeServer from '../run/closeServer';

/** Requests after which the code of the request path is compiled; the first takes longest. */
const REQUESTS = 3;
const HOST = 'warm-up.invalid';
const NAME = 'warm-up';
/** Longest time for one request, in milliseconds. */
const TIMEOUT_MS = 1000;
const BUFFER_BYTES = 64 * 1024;

function clock(): number {
  return performance.now();
}

async function listen(server: Server, host: string): Promise<string> {
  server.listen(0, host);
  await once(server, 'listening');
  return `${host}:${(server.address() as AddressInfo).port}`;
}

function createDeclaration(): Declaration {
  return {
    version: 0,
    routes: {
      [NAME]: {
        host: HOST,
        pathPrefix: '/',
        isIdempotent: true,
        timeoutMs: TIMEOUT_MS,
        targetLatencyMs: TIMEOUT_MS,
        priority: 0,
        maxAttempts: 1,
        backends: [{ service: NAME, weight: 1 }],
      },
    },
    services: {
      [NAME]: {
        healthPath: WarmUpTarget.healthPath,
        connectionLimit: 8,
        coldMs: 0,
        coldRequestsPerSecond: 0,
      },
    },
    limits: {
      maxHeaderBytes: BUFFER_BYTES,
      maxBodyBytes: BUFFER_BYTES,
      headerTimeoutMs: TIMEOUT_MS,
      idleTimeoutMs: TIMEOUT_MS,
    },
    source: '',
  };
}

/** Creates a request path of its own, which shares no state with the one that serves callers. */
function createRequestPath(host: string, targetAddress: string): {
  caller: CallerListener;
  sender: UndiciTargetSender;
} {
  const log = createLogger({ name: NAME, streams: [] });
  const declaration = createDeclaration();
  const sender = new UndiciTargetSender({
    keepAliveTimeoutMs: TIMEOUT_MS,
    localAddress: host,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called only on a request
    onOpened: (address, isWorking) => pool.paths.connections.record(address, isWorking),
  });
  const dialect = new PlatformDialect();
  const pool: TargetPool = new TargetPool({
    clock,
    elapsedClock: clock,
    random: Math.random,
    log,
    location: { name: NAME, region: NAME },
    regionOf: () => NAME,
    coldBurstFactor: 1,
    coldSlack: 0,
    contactTimeoutMs: TIMEOUT_MS,
    shareWindowMs: TIMEOUT_MS,
    onTargetRemoved: () => undefined,
    shareLimit: () => undefined,
    reportLeaving: () => undefined,
    defer: setImmediate,
    onSilence: () => undefined,
    countReady: (address) => sender.countReady(address),
    mayOpen: (address) => sender.mayOpen(address),
  });
  const prober = new TargetProber({
    clock, log, sender, dialect, pool, probesPerSecond: TIMEOUT_MS,
  });
  const placement = new Placement({
    clock,
    random: Math.random,
    pool,
    prober,
    retryRatio: 0,
    retrySlack: 0,
    retryWindowMs: TIMEOUT_MS,
    startedAtMs: clock(),
  });
  pool.update(declaration, new Set(), new Map([[WarmUpTarget.id, {
    id: WarmUpTarget.id,
    service: NAME,
    address: targetAddress,
    dataCentre: NAME,
    slots: 8,
    state: 'ready',
    bornAtMs: 0,
    sequence: 0,
    coldLeftMs: 0,
  }]]));
  pool.setEntries([{ name: NAME, region: NAME }]);
  pool.setFollowing(true);
  const handler = new GatewayHandler({
    clock,
    dialect,
    sender,
    pool,
    placement,
    prober,
    crashes: new CrashWatch({
      clock, log, pool, prober, report: () => undefined, reportAnswered: () => undefined,
    }),
    keys: new KeyGate({ dialect, directory: () => undefined, isProven: () => true }),
    log: new RequestLog(log, clock),
    responseBytes: new ByteBudget(BUFFER_BYTES),
    requestBytes: new ByteBudget(BUFFER_BYTES),
    relay: { send: () => ({ resume: () => undefined, abort: () => undefined }) },
    version: () => declaration.version,
  }, () => declaration);
  return { caller: new CallerListener(handler, { onError: () => undefined }), sender };
}

async function sendRequest(sender: UndiciTargetSender, address: string): Promise<number> {
  return new Promise((resolve, reject) => {
    let received = 0;
    sender.send({ address, connectionLimit: 1 }, {
      method: 'GET', path: '/', headers: WarmUpTarget.createRequestHeaders(HOST), body: null,
    }, {
      onConnected: () => undefined,
      onHeaders: (status) => {
        received = status;
      },
      onData: () => true,
      onEnd: () => resolve(received),
      onFailure: ({ kind }) => reject(new Error(kind)),
    });
  });
}

/**
 * Sends some requests through a request path of its own to a target in this process, so that the
 * code is compiled before callers need it. On a third of a core, the first request of a process
 * took 0.2 s longer than later ones.
 *
 * @param host - IP address of this VM
 * @returns the statuses of the responses
 */
export default async function warmUpRequestPath(host: string): Promise<number[]> {
  const target = new WarmUpTarget();
  const { caller, sender } = createRequestPath(host, await listen(target.server, host));
  const statuses: number[] = [];
  try {
    const address = await listen(caller.server, host);
    for (let sent = 0; sent < REQUESTS; sent += 1) {
      // eslint-disable-next-line no-await-in-loop -- each request finds more of the code compiled
      statuses.push(await sendRequest(sender, address));
    }
  } finally {
    await sender.close();
    await Promise.all([closeServer(caller.server, 0), closeServer(target.server, 0)]);
  }
  return statuses;
}
