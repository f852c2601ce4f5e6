import type { IncomingMessage, ServerResponse } from 'node:http';
import { PassThrough } from 'node:stream';
import type { TestContext } from 'node:test';

import { createLogger } from 'bunyan';

import ByteBudget from '@guavayard/core/limits/ByteBudget';
import type Declaration from '@guavayard/core/registry/Declaration';
import type DeclaredRoute from '@guavayard/core/registry/DeclaredRoute';
import type RequestLimitNotice from '@guavayard/core/requestLimit/RequestLimitNotice';
import type RegisteredTarget from '@guavayard/core/registry/RegisteredTarget';
import TenantDirectory from '@guavayard/core/tenants/TenantDirectory';
import type TenantTable from '@guavayard/core/tenants/TenantTable';
import type Random from '@guavayard/core/types/Random';

import CrashWatch from '../../src/CrashWatch';
import DirectReply from '../../src/DirectReply';
import GatewayHandler from '../../src/GatewayHandler';
import KeyGate from '../../src/KeyGate';
import Placement from '../../src/Placement';
import QuotaGate from '../../src/QuotaGate';
import RelayAdmission from '../../src/RelayAdmission';
import RequestLog from '../../src/RequestLog';
import TargetPool from '../../src/TargetPool';
import TargetProber from '../../src/TargetProber';
import FakeRelay from './FakeRelay';
import FakeSender from './FakeSender';
import type FakeTarget from './FakeTarget';
import FakeResponse from './FakeResponse';
import PlainDialect from './PlainDialect';

const HOST = 'shop.example';
/** Time for which the entry has run before the test, in milliseconds. */
const UPTIME_MS = 10_000;
/** Interval at which control is heard, in milliseconds. */
const PULSE_INTERVAL_MS = 250;
const CHUNK_BYTES = 64 * 1024;

interface SendOptions {
  readonly path?: string;
  readonly remainingMs?: number;
  readonly caller?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer;
}

const alwaysHalf: Random = () => 0.5;

/** Test harness: an entry in the region `near` with fake targets and a virtual clock. */
export default class GatewayRig {
  readonly targets: FakeTarget[] = [];

  readonly sender = new FakeSender(this.targets, () => this.nowMs);

  readonly route: DeclaredRoute = {
    host: HOST,
    pathPrefix: '/',
    isIdempotent: true,
    timeoutMs: 2000,
    targetLatencyMs: 600,
    priority: 1,
    maxAttempts: 2,
    backends: [{ service: 'lots', weight: 1 }],
  };

  /** Connections that each target accepts, as the declaration says. */
  connectionLimit = 100;

  /** Version of the declaration in force. */
  version = 1;

  /** Tenants of the declaration in force, undefined if it has none. */
  tenants: TenantTable | undefined;

  /** Whether the declaration is recent enough to decide about keys. */
  isProven = true;

  evacuated = new Set<string>();

  /** Random numbers that the entry uses, from 0 to 1. */
  random: Random = alwaysHalf;

  /** Overrides of the registered records, by target id. */
  readonly records: Record<string, Partial<RegisteredTarget>> = {};

  readonly pool: TargetPool;

  readonly crashes: CrashWatch;

  readonly admission: RelayAdmission;

  readonly placement: Placement;

  readonly prober: TargetProber;

  /** Fingerprints of the crashes that were reported to the other entries. */
  readonly reports: string[] = [];

  /** Fingerprints of the requests of which the other entries were told that they were answered. */
  readonly answered: string[] = [];

  /** Ids of the targets of which control was told that they are about to leave. */
  readonly leavingIds: string[] = [];

  /** Log lines of the requests that have ended. */
  readonly lines: Parameters<RequestLog['write']>[0][] = [];

  /** Request limits that were shared with the other entries. */
  readonly notices: RequestLimitNotice[] = [];

  /** Admits every request, unless a test replaces its decisions. */
  readonly quotas = new QuotaGate({
    decide: () => ({ isAdmitted: true }), adjust: () => undefined,
  });

  private readonly handler: GatewayHandler;

  private readonly dialect = new PlainDialect();

  readonly relay = new FakeRelay();

  readonly responseBytes = new ByteBudget(1024 * 1024);

  readonly requestBytes = new ByteBudget(2 * 1024 * 1024);

  private nowMs = -UPTIME_MS;

  private requests = 0;

  /** What runs after pending network events, while the entry stands still. */
  private deferred: (() => void)[] | undefined;

  constructor(
    private readonly t: TestContext,
    route: Partial<DeclaredRoute> = {},
    probesPerSecond = 1000,
    hedgeShare?: number,
  ) {
    t.mock.timers.enable({ apis: ['setTimeout'] });
    Object.assign(this.route, route);
    const clock = (): number => this.nowMs;
    const log = createLogger({ name: 'test', streams: [] });
    const requestLog = new RequestLog(log, clock);
    requestLog.observer = (line) => this.lines.push(line);
    const { dialect } = this;
    this.pool = new TargetPool({
      clock,
      elapsedClock: clock,
      random: () => this.random(),
      log,
      location: { name: 'entry-1', region: 'near' },
      regionOf: (dataCentre) => dataCentre,
      coldBurstFactor: 1.5,
      coldSlack: 5,
      contactTimeoutMs: 2500,
      shareWindowMs: 10_000,
      onTargetRemoved: () => undefined,
      shareLimit: (notice) => this.notices.push(notice),
      reportLeaving: (id) => this.leavingIds.push(id),
      defer: (run) => {
        if (this.deferred === undefined) setTimeout(run, 0);
        else this.deferred.push(run);
      },
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called only on a probe
      onSilence: () => prober.startVerifying(),
      countReady: (address) => this.sender.countReady(address),
      mayOpen: (address) => this.sender.mayOpen(address),
    });
    this.pool.setFollowing(true);
    this.pool.setEntries([{ name: 'entry-1', region: 'near' }]);
    const { pool, sender } = this;
    sender.onOpened = (address, isWorking) => pool.paths.connections.record(address, isWorking);
    const prober: TargetProber = new TargetProber({
      clock, log, sender, dialect, pool, probesPerSecond,
    });
    this.prober = prober;
    this.placement = new Placement({
      clock,
      random: () => this.random(),
      pool,
      prober,
      retryRatio: 0.2,
      retrySlack: 60,
      retryWindowMs: 10_000,
      startedAtMs: this.nowMs,
      hedgeShare,
    });
    this.crashes = new CrashWatch({
      clock,
      log,
      pool,
      prober,
      report: (fingerprint) => this.reports.push(fingerprint),
      reportAnswered: (fingerprint) => this.answered.push(fingerprint),
    });
    for (; this.nowMs < 0; this.nowMs += PULSE_INTERVAL_MS) pool.share.recordContact(this.nowMs);
    const { crashes, placement } = this;
    this.admission = new RelayAdmission({
      pool, prober, placement, version: () => this.version,
    });
    this.handler = new GatewayHandler({
      clock,
      dialect,
      sender,
      pool,
      placement,
      prober,
      crashes,
      log: requestLog,
      keys: new KeyGate({
        dialect,
        directory: () => this.tenants && new TenantDirectory(this.tenants),
        isProven: () => this.isProven,
      }),
      responseBytes: this.responseBytes,
      requestBytes: this.requestBytes,
      relay: this.relay,
      quotas: this.quotas,
      version: () => this.version,
    }, () => this.declaration);
  }

  private get declaration(): Declaration {
    return {
      version: this.version,
      routes: { lots: this.route },
      services: {
        lots: {
          healthPath: '/health',
          connectionLimit: this.connectionLimit,
          coldMs: 3000,
          coldRequestsPerSecond: 2,
        },
      },
      limits: {
        maxHeaderBytes: 16384, maxBodyBytes: 1e7, headerTimeoutMs: 3000, idleTimeoutMs: 15000,
      },
      source: '',
    };
  }

  /** Adds a target, by default idle and at its usual speed. */
  addTarget(id: string, change: Partial<FakeTarget> = {}): FakeTarget {
    const target: FakeTarget = {
      id,
      address: `10.0.0.${this.targets.length + 1}:80`,
      region: 'near',
      running: 0,
      slots: 2,
      slowness: 1,
      workMs: 200,
      coldLeftMs: 0,
      mode: 'answers',
      ...change,
    };
    this.targets.push(target);
    this.update();
    return target;
  }

  /** Applies the registered targets to the entry. */
  update(): void {
    const records = new Map(this.targets.map(({
      id, address, region, slots,
    }) => [id, {
      id,
      service: 'lots',
      address,
      dataCentre: region,
      slots,
      state: 'ready' as const,
      bornAtMs: 1,
      sequence: 1,
      coldLeftMs: 0,
      ...this.records[id],
    }]));
    this.pool.update(this.declaration, this.evacuated, records);
  }

  /** Removes all targets from the registry. */
  withdraw(): void {
    this.pool.update(this.declaration, this.evacuated, new Map());
  }

  /** Sends a request as a caller. */
  request(options: SendOptions = {}): FakeResponse {
    const req = this.createRequest(options);
    const res = new FakeResponse(() => this.nowMs);
    this.handler.handle(req, res as unknown as ServerResponse);
    return res;
  }

  /** Sends a request as another entry that relays it. */
  relayed(): FakeResponse {
    const req = this.createRequest({});
    const res = new FakeResponse(() => this.nowMs);
    const id = req.headers.id?.toString() ?? '';
    const reply = new DirectReply(res as unknown as ServerResponse, this.dialect, id);
    const head = {
      requestId: id, method: 'GET', path: '/lots/1', rawHeaders: [], caller: '', hasBody: false, service: 'lots', remainingMs: 4000, triedIds: [], permittedIds: [], probes: 0,
    };
    this.handler.handleRelayed({
      req, reply, head, from: 'entry-2',
    });
    return res;
  }

  private createRequest({
    path = '/lots/1', remainingMs = 4000, headers = {}, caller = '10.9.0.1', body,
  }: SendOptions): IncomingMessage {
    this.requests += 1;
    const all = {
      host: HOST,
      id: `r-${this.requests}`,
      remaining: String(remainingMs),
      ...(body === undefined ? {} : { 'content-length': String(body.length) }),
      ...headers,
    };
    const req = Object.assign(new PassThrough(), {
      headers: all, rawHeaders: Object.entries(all).flat(), method: 'GET', url: path, complete: true, socket: { remoteAddress: caller },
    });
    if (body !== undefined) {
      for (let at = 0; at < body.length; at += CHUNK_BYTES) {
        req.write(body.subarray(at, at + CHUNK_BYTES));
      }
      req.end();
    }
    return req as unknown as IncomingMessage;
  }

  /** Advances the virtual clock, in steps of 1 ms of the timers or more, which are late then. */
  run(ms: number, stepMs = 1): void {
    for (let passed = 0; passed < ms; passed += stepMs) {
      this.nowMs += stepMs;
      this.pool.share.recordContact(this.nowMs);
      this.t.mock.timers.tick(1);
    }
  }

  /** Lets the entry stand still; afterwards timers run before pending network events. */
  stall(ms: number): void {
    const deferred: (() => void)[] = [];
    this.deferred = deferred;
    this.sender.hold();
    this.nowMs += ms;
    this.t.mock.timers.tick(ms);
    this.sender.release();
    this.deferred = undefined;
    deferred.forEach((run) => run());
  }
}
