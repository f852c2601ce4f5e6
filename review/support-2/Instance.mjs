/* global clearInterval, setInterval */
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

const HEARTBEAT_MS = 1500;

/** An instance as the pages describe it; `respond` changes what it does with a request. */
export default class Instance {
  /** Requests that reached it, with the time of the arrival. */
  arrivals = [];

  state = 'ready';

  running = 0;

  sequence = 0;

  born = Date.now();

  /** Runs of requests, with their times and how they ended. */
  runs = [];

  /**
   * @param options - `warmupMs`: for how long it is cold from its start; `tellsLoad`: whether its
   *   answers have `X-Instance-Load`; `answer`: writes the body of an answer
   */
  constructor({
    id, service, slots = 4, zone = 'cork', workMs = 20, warmupMs = 0, tellsLoad = true, answer,
  }) {
    Object.assign(this, {
      id, service, slots, zone, workMs, tellsLoad, answer,
    });
    this.warmAt = Date.now() + warmupMs;
    this.server = createServer((req, res) => this.serve(req, res));
    this.server.keepAliveTimeout = 10_000;
  }

  async start(system) {
    this.system = system;
    await new Promise((done) => {
      this.server.listen(0, '127.0.0.1', done);
    });
    this.address = `127.0.0.1:${this.server.address().port}`;
    await this.beat();
    this.timer = setInterval(() => this.beat().catch(() => undefined), HEARTBEAT_MS);
  }

  async beat() {
    this.sequence += 1;
    const { status, text } = await this.system.call('PUT', `/-/instances/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      max_concurrency: this.slots,
      state: this.state,
      warmup_left_s: this.warmupLeftMs / 1000,
      sequence: this.sequence,
      born: this.born,
    }, this.sequence);
    if (status !== 200) throw new Error(`heartbeat: ${status} ${text}`);
  }

  async drain() {
    this.state = 'draining';
    await this.beat();
    return Date.now();
  }

  get warmupLeftMs() {
    return Math.max(0, this.warmAt - Date.now());
  }

  describe() {
    return this.tellsLoad ? { 'x-instance-load': `${this.running},0,${this.slots}` } : {};
  }

  serve(req, res) {
    if (req.url === '/health') {
      res.writeHead(this.state === 'ready' ? 200 : 503, {
        'x-instance-id': this.id, 'x-warmup-remaining-ms': this.warmupLeftMs, ...this.describe(),
      }).end();
      return;
    }
    const id = req.headers['x-request-id'];
    this.arrivals.push({
      id, atMs: Date.now(), method: req.method, path: req.url, instance: this.id,
    });
    if (req.headers['x-expect-instance'] !== this.id) {
      res.writeHead(421, { 'x-request-id': id, ...this.describe() }).end();
      return;
    }
    if (this.running >= this.slots) {
      res.writeHead(503, { 'x-request-id': id, 'x-not-executed': '1', ...this.describe() }).end();
      return;
    }
    this.run(id, req, res);
  }

  /** Runs a request to its end; a run whose connection closes before that is broken off. */
  async run(id, req, res) {
    const run = {
      id, instance: this.id, startedAtMs: Date.now(), end: 'running',
    };
    this.runs.push(run);
    this.running += 1;
    req.resume();
    res.once('close', () => {
      run.endedAtMs = Date.now();
      run.end = res.writableFinished ? 'answered' : 'its connection was closed while it was at work';
      this.running -= 1;
    });
    const headers = { 'x-request-id': id, 'x-server-signature': 'signed', ...this.describe() };
    if (this.answer !== undefined) {
      await this.answer(res, headers);
      return;
    }
    await sleep(this.workMs);
    if (res.destroyed) return;
    const body = `${this.id} ran ${id}`;
    res.writeHead(200, { ...headers, 'content-length': body.length }).end(body);
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }
}
