/* eslint import-x/extensions: ['error', 'ignorePackages'] -- Node finds modules by full names. */
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { once } from 'node:events';
import { createServer } from 'node:http';

import callControl from './callControl.mjs';

const HEARTBEAT_MS = 1500;

/** An instance that announces itself, runs requests and records when they arrived. */
export default class Target {
  /**
   * @param options - `id`, `service`, `zone`, `slots`, `workMs`, `controls` (returns the addresses
   *   to which it announces itself), `warmupMs`, the time for which it is cold after its start, and
   *   `isMute`, whether it does not tell its load and lets probes wait for a slot
   */
  constructor(options) {
    this.options = options;
    this.sequence = 0;
    this.running = 0;
    this.state = 'ready';
    this.waitingProbes = [];
    /** What arrived: id of the request, address of the sender, time, and whether it ran. */
    this.arrivals = [];
    this.server = createServer((req, res) => this.serve(req, res));
  }

  async start() {
    this.server.keepAliveTimeout = 10_000;
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.bornAtMs = Date.now();
    this.warmAtMs = performance.now() + (this.options.warmupMs ?? 0);
    this.timer = setInterval(() => this.announce(), HEARTBEAT_MS);
    return this.announce();
  }

  /** Time for which the instance stays cold, in milliseconds. */
  get coldLeftMs() {
    return Math.max(0, this.warmAtMs - performance.now());
  }

  /** Sends a heartbeat. @returns whether it was acknowledged */
  async announce() {
    const {
      id, service, zone, slots, controls,
    } = this.options;
    this.sequence += 1;
    const body = JSON.stringify({
      service,
      address: this.address,
      zone,
      version: 'v1',
      max_concurrency: slots,
      state: this.state,
      warmup_left_s: this.coldLeftMs / 1000,
      sequence: this.sequence,
      born: this.bornAtMs,
    });
    const { status } = await callControl(controls(), 'PUT', `/-/instances/${id}`, body);
    return status === 200;
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  serve(req, res) {
    const { id, slots, workMs } = this.options;
    const headers = {
      'x-instance-id': id,
      ...(this.options.isMute ? {} : { 'x-instance-load': `${this.running},0,${slots},100` }),
    };
    if (req.url === '/health') {
      this.answerProbe(res, headers);
      return;
    }
    const requestId = req.headers['x-request-id'];
    headers['x-request-id'] = requestId;
    const arrival = {
      id: requestId, from: req.socket.remoteAddress, atMs: performance.now(), hasRun: false,
    };
    if (req.headers['x-expect-instance'] !== id) {
      res.writeHead(421, headers).end();
      return;
    }
    this.arrivals.push(arrival);
    if (this.running >= slots) {
      res.writeHead(503, { ...headers, 'x-not-executed': '1' }).end();
      return;
    }
    this.running += 1;
    arrival.hasRun = true;
    req.resume();
    res.once('close', () => {
      arrival.isBrokenOff = !res.writableEnded;
    });
    setTimeout(() => {
      this.running -= 1;
      arrival.endedAtMs = performance.now();
      this.answer(res, headers, requestId);
      this.waitingProbes.splice(0).forEach((answerProbe) => answerProbe());
    }, workMs);
  }

  /** Answers a probe; an instance that does not tell its load lets it wait for a slot. */
  answerProbe(res, headers) {
    if (this.options.isMute && this.running >= this.options.slots) {
      this.waitingProbes.push(() => this.answerProbe(res, headers));
      return;
    }
    const coldMs = Math.ceil(this.coldLeftMs);
    res.writeHead(200, coldMs > 0 ? { ...headers, 'x-warmup-remaining-ms': coldMs } : headers).end();
  }

  answer(res, headers, requestId) {
    res.writeHead(200, { ...headers, 'x-server-signature': 'signed' });
    res.end(`${this.options.id} ran ${requestId}`);
  }
}
