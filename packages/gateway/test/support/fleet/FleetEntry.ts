import type { IncomingMessage, ServerResponse } from 'node:http';
import { PassThrough } from 'node:stream';

import { createLogger } from 'bunyan';

import ByteBudget from '@guavayard/core/limits/ByteBudget';
import type Declaration from '@guavayard/core/registry/Declaration';
import type Random from '@guavayard/core/types/Random';

import CrashWatch from '../../../src/CrashWatch';
import GatewayHandler from '../../../src/GatewayHandler';
import KeyGate from '../../../src/KeyGate';
import Placement from '../../../src/Placement';
import RequestLog from '../../../src/RequestLog';
import TargetPool from '../../../src/TargetPool';
import TargetProber from '../../../src/TargetProber';
import FakeRelay from '../FakeRelay';
import FakeResponse from '../FakeResponse';
import PlainDialect from '../PlainDialect';
import FleetActor from './FleetActor';
import type FleetClock from './FleetClock';
import type FleetControl from './FleetControl';
import type FleetProcess from './FleetProcess';
import FleetSender from './FleetSender';

/** Longest time that an update of control takes to an entry, in milliseconds. */
const MAX_UPDATE_MS = 60;
/** Time without control after which an entry knows that it follows none, in milliseconds. */
const SOURCE_TIMEOUT_MS = 800;
const PULSE_INTERVAL_MS = 250;
const KEEP_ALIVE_INTERVAL_MS = 1000;
const BUFFER_BYTES = 1024 * 1024;
const REMAINING_MS = 1000;

interface EntryOptions {
  readonly name: string;
  readonly clock: FleetClock;
  readonly control: FleetControl;
  readonly random: Random;
  readonly declaration: Declaration;
  readonly probesPerSecond: number;
  readonly findListener: (address: string) => FleetProcess | undefined;
}

/** An entry of a simulated system: the parts of the gateway, its connections and its process. */
export default class FleetEntry {
  readonly actor: FleetActor;

  readonly pool: TargetPool;

  /** Requests of callers by the status of their response. */
  readonly statuses = new Map<number, number>();

  private readonly handler: GatewayHandler;

  private readonly sender: FleetSender;

  private cutAtMs = -Infinity;

  private cutUntilMs = -Infinity;

  private isFollowing = true;

  /** Whether an update may have been missed. */
  private isOutdated = false;

  private updatedAtMs = 0;

  private requests = 0;

  constructor(private readonly options: EntryOptions) {
    const {
      name, clock: fleetClock, random, probesPerSecond, findListener,
    } = options;
    const clock = (): number => fleetClock.nowMs;
    const log = createLogger({ name: 'test', streams: [] });
    const dialect = new PlainDialect();
    this.actor = new FleetActor(fleetClock);
    this.pool = new TargetPool({
      clock,
      elapsedClock: clock,
      random,
      log,
      location: { name, region: 'near' },
      regionOf: () => 'near',
      coldBurstFactor: 1.5,
      coldSlack: 5,
      contactTimeoutMs: 2500,
      shareWindowMs: 10_000,
      onTargetRemoved: (address) => this.sender.closeConnections(address),
      shareLimit: () => undefined,
      reportLeaving: () => undefined,
      defer: (run) => setTimeout(run, 0),
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called only on a probe
      onSilence: () => prober.startVerifying(),
      countReady: (address) => this.sender.countReady(address),
      mayOpen: (address) => this.sender.mayOpen(address),
    });
    const { pool } = this;
    const sender = new FleetSender({
      clock: fleetClock,
      actor: this.actor,
      findListener,
      onOpened: (address, isWorking) => pool.paths.connections.record(address, isWorking),
      describe: () => `${name} ${this.describeTargets()}`,
    });
    this.sender = sender;
    const prober = new TargetProber({
      clock, log, sender, dialect, pool, probesPerSecond,
    });
    const placement = new Placement({
      clock,
      random,
      pool,
      prober,
      retryRatio: 0.2,
      retrySlack: 60,
      retryWindowMs: 10_000,
      startedAtMs: -Infinity,
    });
    this.handler = new GatewayHandler({
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
      relay: Object.assign(new FakeRelay(), { mode: 'refuses' }),
      version: () => 1,
    }, () => options.declaration);
    fleetClock.every(PULSE_INTERVAL_MS, () => this.pulse());
    fleetClock.every(KEEP_ALIVE_INTERVAL_MS, () => this.actor.deliver('timer', () => {
      pool.observeTime();
      prober.keepConnectionsAlive();
      prober.verifyLimits();
    }));
  }

  /** Starts to follow control, which names all entries. */
  join(names: readonly string[]): void {
    this.pool.setFollowing(true);
    this.pool.setEntries(names.map((name) => ({ name, region: 'near' })));
  }

  /** Sends the entry a request of a caller. */
  request(): void {
    this.requests += 1;
    const headers = { host: 'shop.example', id: `${this.options.name}-${this.requests}`, remaining: String(REMAINING_MS) };
    const req = Object.assign(new PassThrough(), {
      headers, rawHeaders: Object.entries(headers).flat(), method: 'GET', url: '/lots/1', complete: true, socket: { remoteAddress: '10.9.0.1' },
    }) as unknown as IncomingMessage;
    const res = new FakeResponse(() => this.options.clock.nowMs);
    const end = res.end.bind(res);
    res.end = (chunk) => {
      end(chunk);
      this.statuses.set(res.status ?? 0, (this.statuses.get(res.status ?? 0) ?? 0) + 1);
    };
    this.actor.deliver('network', () => this.handler.handle(req, res as unknown as ServerResponse));
  }

  /** Loses control for some time. */
  cut(ms: number): void {
    this.cutAtMs = this.options.clock.nowMs;
    this.cutUntilMs = this.cutAtMs + ms;
    this.isOutdated = true;
  }

  /** Receives a view of control some time later, after those before it. */
  update(view: FleetControl['view']): void {
    const { clock, random } = this.options;
    if (this.isCut) return;
    this.updatedAtMs = Math.max(this.updatedAtMs, clock.nowMs + 1 + random() * MAX_UPDATE_MS);
    clock.after(this.updatedAtMs - clock.nowMs, () => this.actor.deliver('network', () => {
      if (!this.isCut) this.apply(view);
    }));
  }

  private get isCut(): boolean {
    return this.options.clock.nowMs < this.cutUntilMs;
  }

  private apply({ records, evacuated }: FleetControl['view']): void {
    this.pool.update(this.options.declaration, evacuated, records);
  }

  /** Notices that control is there, or has been gone for some time. */
  private pulse(): void {
    const { clock, control } = this.options;
    this.actor.deliver('network', () => {
      if (!this.isCut) {
        this.pool.share.recordContact(clock.nowMs);
        if (this.isOutdated) {
          this.isOutdated = false;
          this.isFollowing = true;
          this.pool.setFollowing(true);
          this.apply(control.view);
        }
      } else if (this.isFollowing && clock.nowMs >= this.cutAtMs + SOURCE_TIMEOUT_MS) {
        this.isFollowing = false;
        this.pool.setFollowing(false);
      }
    });
  }

  private describeTargets(): string {
    const { nowMs } = this.options.clock;
    return this.pool.findNearTargets().map(({
      record: { id }, coldUntilMs, reading, recentSends,
    }) => (
      `[${id} cold ${Math.max(0, coldUntilMs - nowMs).toFixed(0)} read ${(nowMs - (reading?.atMs ?? -Infinity)).toFixed(1)} sent ${recentSends.filter((atMs) => atMs > nowMs - 1000).length}]`
    )).join(' ');
  }
}
