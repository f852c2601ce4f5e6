/* eslint-disable no-await-in-loop -- one after the other */
/* global AbortSignal, Buffer, fetch */
import { spawn } from 'node:child_process';
import {
  closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

const BINARY = resolve('target/guavayard');
const CONTROLS = ['127.0.0.2', '127.0.0.3', '127.0.0.4'];
const CALL_TIMEOUT_MS = 1000;
const START_TIMEOUT_MS = 20_000;

/** @returns a port that is free on all loopback addresses */
async function findFreePort() {
  const server = createServer();
  await new Promise((done) => {
    server.listen(0, '0.0.0.0', done);
  });
  const { port } = server.address();
  await new Promise((done) => {
    server.close(done);
  });
  return port;
}

/** A small system: three control VMs and some entries, as the deploy file starts them. */
export default class System {
  folder = mkdtempSync(join(tmpdir(), 'guavayard-review-'));

  /** Processes that have not been replaced, by address. */
  processes = new Map();

  /** Processes that ended without a signal of this script. */
  unexpectedEnds = [];

  /** Control VMs that the settings name. */
  seeds = [...CONTROLS];

  /** Processes that this script has sent a signal that ends them. */
  stopped = new Set();

  constructor({
    entries = ['127.0.0.5'], bounds = '', memoryMb = 350, regions = { cork: 'munster' }, dataCentreOf = () => 'cork',
  } = {}) {
    this.entries = entries;
    this.bounds = bounds;
    this.memoryMb = memoryMb;
    this.regions = regions;
    this.dataCentreOf = dataCentreOf;
  }

  async start() {
    this.ports = {
      session: await findFreePort(),
      control: await findFreePort(),
      callers: await findFreePort(),
      readiness: await findFreePort(),
      metrics: await findFreePort(),
    };
    [...CONTROLS, ...this.entries].forEach((ip) => this.startVm(ip, true));
  }

  startVm(ip, isFirstStart) {
    const path = join(this.folder, `${ip}.toml`);
    writeFileSync(path, this.createSettings(ip, isFirstStart));
    const log = openSync(join(this.folder, `${ip}.log`), 'a');
    const child = spawn(BINARY, ['serve', '--settings', path], { stdio: ['ignore', log, log] });
    closeSync(log);
    child.once('exit', (code, signal) => {
      if (!this.stopped.has(child)) this.unexpectedEnds.push({ ip, code, signal });
    });
    this.processes.set(ip, child);
  }

  signal(ip, signal) {
    const child = this.processes.get(ip);
    if (signal === 'SIGTERM' || signal === 'SIGKILL') this.stopped.add(child);
    child?.kill(signal);
  }

  /** Writes the settings file of a VM anew, with its seeds in another order. */
  rewriteSettings(ip) {
    this.seeds.reverse();
    writeFileSync(join(this.folder, `${ip}.toml`), this.createSettings(ip, false));
  }

  async awaitEnd(ip) {
    const child = this.processes.get(ip);
    if (child.exitCode !== null || child.signalCode !== null) return;
    await new Promise((done) => {
      child.once('exit', done);
    });
  }

  readLog(ip) {
    return readFileSync(join(this.folder, `${ip}.log`), 'utf8');
  }

  /** Sends a call to control VMs in turn until one answers it clearly. */
  async call(method, path, body, first = 0) {
    const endsAt = Date.now() + START_TIMEOUT_MS;
    for (let turn = first; Date.now() < endsAt; turn += 1) {
      const ip = CONTROLS[turn % CONTROLS.length];
      try {
        const res = await fetch(`http://${ip}:${this.ports.control}${path}`, {
          method,
          ...(body === undefined ? {} : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
          signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        });
        const text = await res.text();
        const { status } = res;
        if (status < 500 && status !== 408 && status !== 429) return { status, text };
      } catch {
        // The next VM is called.
      }
      await sleep(100);
    }
    throw new Error(`${method} ${path} has no answer`);
  }

  /** Puts a configuration in force and waits until all entries have it. */
  async configure(configuration) {
    const { status, text } = await this.call('PUT', '/-/config', configuration);
    if (status !== 200) throw new Error(`configuration: ${status} ${text}`);
  }

  async awaitReady() {
    const endsAt = Date.now() + START_TIMEOUT_MS;
    for (;;) {
      const states = await Promise.all(this.entries.map(async (ip) => {
        try {
          return (await fetch(`http://${ip}:${this.ports.readiness}/-/readiness`, { signal: AbortSignal.timeout(CALL_TIMEOUT_MS) })).status;
        } catch {
          return 0;
        }
      }));
      if (states.every((status) => status === 200)) return;
      if (Date.now() > endsAt) throw new Error('the entries are not ready');
      await sleep(100);
    }
  }

  /** Sends a request of a client; resolves with the answer, or with an error if there is none. */
  async send({
    entry = this.entries[0], method = 'GET', path, id, headers = {}, body, deadlineMs = 4000, host = 'site.example', agent,
  }) {
    const sentAt = Date.now();
    return new Promise((done) => {
      const req = request({
        host: entry,
        port: this.ports.callers,
        method,
        path,
        agent: agent ?? false,
        headers: {
          Host: host, 'X-Request-Id': id, 'X-Request-Deadline-Ms': deadlineMs, ...headers,
        },
      }, (res) => {
        const chunks = [];
        res.on('data', (chunk) => chunks.push(chunk));
        res.once('error', (err) => done({ id, error: err.code ?? err.message, ms: Date.now() - sentAt }));
        res.once('end', () => done({
          id, status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks).toString('latin1'), ms: Date.now() - sentAt, complete: res.complete,
        }));
      });
      // The client waits for its deadline and a second for what is on its way.
      req.setTimeout(deadlineMs + 1000, () => req.destroy(new Error('no answer')));
      req.once('error', (err) => done({ id, error: err.code ?? err.message, ms: Date.now() - sentAt }));
      req.end(body);
    });
  }

  close() {
    this.processes.forEach((child) => {
      this.stopped.add(child);
      child.kill('SIGKILL');
    });
    rmSync(this.folder, { recursive: true, force: true });
  }

  createSettings(ip, isFirstStart) {
    const {
      session, control, callers, readiness, metrics,
    } = this.ports;
    const dataCentre = this.dataCentreOf(ip);
    const role = this.entries.includes(ip)
      ? `[entry]\ncallers = "${ip}:${callers}"\nreadiness = "${ip}:${readiness}"\n`
      : `[control]\nlisten = "${ip}:${control}"\nfolder = "${join(this.folder, ip)}"\n`;
    return `mode = "declared"
[vm]
label = "vm-${ip}"
ip = "${ip}"
region = "${this.regions[dataCentre]}"
dataCentre = "${dataCentre}"
sessionPort = ${session}
seeds = ${JSON.stringify(this.seeds.map((seed) => `${seed}:${control}`))}
isFirstStart = ${isFirstStart}
memoryMb = ${this.memoryMb}
maxFds = 4100
[regions]
${Object.entries(this.regions).map(([zone, region]) => `"${zone}" = "${region}"`).join('\n')}
${role}[metrics]
listen = "${ip}:${metrics}"
[bounds]
lostVms = 1
targetHeartbeatSeconds = 1.5
graceSeconds = 6
retryRatio = 0.2
retryWindowSeconds = 10
retrySlack = 64
coldBurstFactor = 1.5
coldSlack = 5
probesPerSecond = 60
${this.bounds}`;
  }
}
