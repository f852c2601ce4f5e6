import { clearTimeout, setTimeout } from 'node:timers';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import {
  mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import process from 'node:process';

const BINARY = resolve('target/guavayard');
/** Time after which a process that has ended by itself is started again, in milliseconds. */
const RESTART_DELAY_MS = 500;

async function reservePort() {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address();
  server.close();
  await once(server, 'close');
  return port;
}

/** Processes of the built binary, started with the commands of the deploy file on loopback. */
export default class Deployment {
  /**
   * @param vms - the machines: address, zone and role (`control` or `entry`); the first three with
   *   the role `control` are the seeds
   * @param regions - region of each zone
   * @param bounds - bounds of the settings, as in the settings template
   */
  constructor(vms, regions, bounds) {
    this.vms = [...vms];
    this.regions = regions;
    this.bounds = bounds;
    this.folder = mkdtempSync(join(tmpdir(), 'guavayard-review-'));
    this.processes = new Map();
    /** Processes that this deployment has stopped. */
    this.stopped = new WeakSet();
    this.timers = [];
    this.isClosed = false;
    /** Called when a process has ended by itself, with its address and the reason. */
    this.onOwnExit = () => undefined;
  }

  /** Starts all processes for the first time. */
  async start() {
    ['SIGTERM', 'SIGINT'].forEach((signal) => process.once(signal, () => {
      this.isClosed = true;
      this.processes.forEach((child) => child.kill('SIGKILL'));
      rmSync(this.folder, { recursive: true, force: true });
      process.exit(2);
    }));
    this.sessionPort = await reservePort();
    this.controlPort = await reservePort();
    this.callerPort = await reservePort();
    this.readyPort = await reservePort();
    this.seeds = this.controls.slice(0, 3);
    this.vms.forEach((vm) => this.startVm(vm.ip, true));
  }

  /** Addresses of all processes that serve control. */
  get controls() {
    return this.vms.filter(({ role }) => role === 'control')
      .map(({ ip }) => `${ip}:${this.controlPort}`);
  }

  /** Addresses of all entries. */
  get entries() {
    return this.vms.filter(({ role }) => role === 'entry').map(({ ip }) => ip);
  }

  /** Starts the process of a machine on the files that its previous process left. */
  startVm(ip, isFirstStart = false) {
    const path = join(this.folder, `${ip}.toml`);
    writeFileSync(path, this.createSettings(ip, isFirstStart));
    const log = openSync(join(this.folder, `${ip}.log`), 'a');
    const child = spawn(BINARY, ['serve', '--settings', path], { stdio: ['ignore', log, log] });
    this.processes.set(ip, child);
    child.once('exit', (code, signal) => this.handleExit(ip, child, code ?? signal));
  }

  /** Starts a process again that has ended by itself, as the platform does. */
  handleExit(ip, child, reason) {
    if (this.isClosed || child !== this.processes.get(ip) || this.stopped.has(child)) return;
    this.onOwnExit(ip, reason);
    this.timers.push(setTimeout(() => this.startVm(ip), RESTART_DELAY_MS));
  }

  /** Sends a signal to the process of a machine. */
  signal(ip, signal) {
    this.processes.get(ip).kill(signal);
  }

  /** Sends a signal to the process of a machine and waits for its end. */
  async stopVm(ip, signal) {
    const child = this.processes.get(ip);
    this.stopped.add(child);
    if (child.exitCode !== null || child.signalCode !== null) return;
    child.kill(signal);
    await once(child, 'exit');
  }

  /** Adds a machine, which starts with an empty disk. */
  addVm(vm) {
    this.vms.push(vm);
    this.startVm(vm.ip);
  }

  /** Empties the disk of a machine whose process has ended. */
  wipeDisk(ip) {
    rmSync(join(this.folder, `data-${ip}`), { recursive: true, force: true });
  }

  /** @returns whether the process of a machine runs */
  isRunning(ip) {
    const { exitCode, signalCode } = this.processes.get(ip);
    return exitCode === null && signalCode === null;
  }

  /** @returns the log of a machine, as parsed lines */
  readLog(ip) {
    return readFileSync(join(this.folder, `${ip}.log`), 'utf8').split('\n')
      .filter((line) => line.startsWith('{')).map((line) => JSON.parse(line));
  }

  /** @returns the address of the process that leads control, as the latest log line says */
  findLeader() {
    const lines = this.vms.filter(({ role }) => role === 'control')
      .flatMap(({ ip }) => this.readLog(ip))
      .filter(({ msg, leader }) => msg === 'leader changed' && leader !== undefined)
      .sort((a, b) => a.term - b.term);
    return lines.at(-1)?.leader.split('#')[0];
  }

  /** Ends all processes and deletes their files. */
  async close() {
    this.isClosed = true;
    this.timers.forEach((timer) => clearTimeout(timer));
    await Promise.all([...this.processes.keys()].map(async (ip) => this.stopVm(ip, 'SIGKILL')));
    rmSync(this.folder, { recursive: true, force: true });
  }

  createSettings(ip, isFirstStart) {
    const { role, zone } = this.vms.find((vm) => vm.ip === ip);
    const folder = join(this.folder, `data-${ip}`);
    if (role === 'control') mkdirSync(folder, { recursive: true });
    const listeners = role === 'entry'
      ? `[entry]\ncallers = "${ip}:${this.callerPort}"\nreadiness = "${ip}:${this.readyPort}"`
      : `[control]\nlisten = "${ip}:${this.controlPort}"\nfolder = "${folder}"`;
    const regions = Object.entries(this.regions).map(([name, region]) => `"${name}" = "${region}"`);
    const bounds = Object.entries(this.bounds).map(([name, value]) => `${name} = ${value}`);
    return `mode = "declared"

[vm]
label = "vm-${ip}"
ip = "${ip}"
bindsToIp = true
region = "${this.regions[zone]}"
dataCentre = "${zone}"
sessionPort = ${this.sessionPort}
seeds = ${JSON.stringify(this.seeds)}
isFirstStart = ${isFirstStart}

[regions]
${regions.join('\n')}

${listeners}

[bounds]
${bounds.join('\n')}
`;
  }
}
