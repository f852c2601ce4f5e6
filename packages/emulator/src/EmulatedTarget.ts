import {
  createServer, type IncomingHttpHeaders, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';

import LoadMeter from './LoadMeter';
import SlotQueue from './SlotQueue';
import TargetBehaviour from './TargetBehaviour';
import type TargetStatistics from './TargetStatistics';

const LOAD_HEADER = 'guavayard-load';
const OUTCOME_HEADER = 'guavayard-outcome';
const KEY_HEADER = 'idempotency-key';
const PROBE_PATH = '/guavayard/probe';
/** Header of a request that crashes the target that runs it. */
const POISON_HEADER = 'emulated-poison';
/** Header that overrides the service time for one request. */
const SERVICE_TIME_HEADER = 'emulated-service-time-ms';

/**
 * A target for demonstrations and tests: echoes request bodies, counts the requests that it runs,
 * and simulates slowness, overload, cold starts and failures as configured.
 */
export default class EmulatedTarget {
  readonly server: Server;

  readonly statistics: TargetStatistics = {
    runs: 0,
    runsByKey: new Map(),
    shed: 0,
    failedFast: 0,
    overloads: 0,
    cancelled: 0,
    probes: 0,
    mostInFlight: 0,
  };

  /** Headers of the latest request other than a probe. */
  lastHeaders: IncomingHttpHeaders = {};

  /** Current behaviour; changed with {@link EmulatedTarget.change}. */
  behaviour: TargetBehaviour;

  /** Called when a request starts to run. */
  onRun: ((req: IncomingMessage) => void) | undefined;

  /** Called after {@link EmulatedTarget.crash}, also when a poison request caused it. */
  onCrash: (() => void) | undefined;

  private readonly queue = new SlotQueue(() => this.behaviour.slots);

  private readonly load = new LoadMeter(() => performance.now());

  constructor(private readonly id: string, behaviour: Partial<TargetBehaviour> = {}) {
    this.behaviour = TargetBehaviour.parse(behaviour);
    this.server = createServer((req, res) => this.receive(req, res));
  }

  /** Number of requests that this target has started to run. */
  get runs(): number {
    return this.statistics.runs;
  }

  /** Number of requests that currently hold a slot. */
  get inFlight(): number {
    return this.queue.heldCount;
  }

  /**
   * Listens on the loopback interface.
   *
   * @param port - the port; 0 for an ephemeral port
   * @returns the address as `host:port`
   */
  async listen(port = 0): Promise<string> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.server.address() as AddressInfo).port}`);
      });
    });
  }

  /**
   * Changes part of the behaviour.
   *
   * @param changes - the fields to change
   * @throws if a field is invalid
   */
  change(changes: Partial<TargetBehaviour>): void {
    this.behaviour = TargetBehaviour.parse({ ...this.behaviour, ...changes });
  }

  /** Closes every connection immediately and stops listening, as a crash does. */
  crash(): void {
    this.server.close();
    this.server.closeAllConnections();
    this.onCrash?.();
  }

  private receive(req: IncomingMessage, res: ServerResponse): void {
    res.setHeader('emulated-target', this.id);
    if (req.url === PROBE_PATH) {
      this.respondToProbe(res);
      return;
    }
    this.lastHeaders = req.headers;
    if (this.mustShed()) this.shed(res);
    else if (this.behaviour.isFailingFast) this.failFast(res);
    else this.enqueue(req, res);
  }

  private mustShed(): boolean {
    const { isShedding, queueLimit, slots } = this.behaviour;
    if (isShedding) return true;
    return this.queue.heldCount >= slots && this.queue.waitingCount >= queueLimit;
  }

  private respondToProbe(res: ServerResponse): void {
    this.statistics.probes += 1;
    this.setLoadHeader(res);
    res.end();
  }

  private shed(res: ServerResponse): void {
    this.statistics.shed += 1;
    res.setHeader(OUTCOME_HEADER, 'not-run');
    this.setLoadHeader(res);
    res.writeHead(503).end();
  }

  private failFast(res: ServerResponse): void {
    this.statistics.failedFast += 1;
    res.writeHead(500).end();
  }

  private enqueue(req: IncomingMessage, res: ServerResponse): void {
    this.load.add(1, this.behaviour.loadLagMs);
    let timer: NodeJS.Timeout | undefined;
    const release = this.queue.acquire(() => {
      if (!this.isWithinColdLimit()) {
        res.writeHead(500).end();
        return;
      }
      this.run(req);
      if (req.headers[POISON_HEADER] !== undefined) {
        this.crash();
        return;
      }
      const serviceTimeMs = this.serviceTimeMs(req);
      if (serviceTimeMs === 0) this.respond(req, res);
      else timer = setTimeout(() => this.respond(req, res), serviceTimeMs);
    });
    res.once('close', () => {
      clearTimeout(timer);
      if (!res.writableFinished) this.statistics.cancelled += 1;
      this.load.add(-1, this.behaviour.loadLagMs);
      release();
    });
  }

  private isWithinColdLimit(): boolean {
    const { statistics } = this;
    statistics.mostInFlight = Math.max(statistics.mostInFlight, this.queue.heldCount);
    if (this.behaviour.coldRequests === 0) return true;
    if (this.queue.heldCount <= this.behaviour.coldSlots) return true;
    statistics.overloads += 1;
    return false;
  }

  private run(req: IncomingMessage): void {
    const { statistics } = this;
    statistics.runs += 1;
    this.onRun?.(req);
    const key = req.headers[KEY_HEADER];
    if (typeof key !== 'string') return;
    statistics.runsByKey.set(key, (statistics.runsByKey.get(key) ?? 0) + 1);
  }

  private serviceTimeMs(req: IncomingMessage): number {
    const {
      serviceTimeMs, slowFactor, coldRequests, coldFactor, noise,
    } = this.behaviour;
    const ownMs = Number(req.headers[SERVICE_TIME_HEADER] ?? serviceTimeMs);
    const isNoisy = noise !== undefined && performance.now() % noise.everyMs < noise.lastsMs;
    return ownMs * slowFactor * (coldRequests > 0 ? coldFactor : 1) * (isNoisy ? noise.factor : 1);
  }

  private respond(req: IncomingMessage, res: ServerResponse): void {
    const { coldRequests } = this.behaviour;
    if (coldRequests > 0) this.change({ coldRequests: coldRequests - 1 });
    this.setLoadHeader(res);
    if (req.method === 'POST') req.pipe(res);
    else res.end(`${req.method} ${req.url} answered by ${this.id}\n`);
  }

  private setLoadHeader(res: ServerResponse): void {
    const { loadFactor, loadLagMs, slots } = this.behaviour;
    const inFlight = Math.round(this.load.valueBefore(loadLagMs) * loadFactor);
    res.setHeader(LOAD_HEADER, `in-flight=${inFlight}, slots=${slots}`);
  }
}
