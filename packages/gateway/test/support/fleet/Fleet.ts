import type { TestContext } from 'node:test';

import type Declaration from '@guavayard/core/registry/Declaration';
import type Random from '@guavayard/core/types/Random';
import createRandom from '@guavayard/core/utils/createRandom';

import FleetClock from './FleetClock';
import FleetControl from './FleetControl';
import FleetEntry from './FleetEntry';
import FleetProcess from './FleetProcess';

const SERVICE = 'lots';
const SLOTS = 4;
const WORK_MS = 40;
/** Requests a second of all callers together. */
const REQUESTS_PER_SECOND = 216;
const HEARTBEAT_MS = 1000;
const MS_PER_SECOND = 1000;

const DECLARATION: Declaration = {
  version: 1,
  routes: {
    lots: {
      host: 'shop.example',
      pathPrefix: '/',
      isIdempotent: true,
      timeoutMs: 5000,
      targetLatencyMs: 1000,
      priority: 0,
      maxAttempts: 2,
      backends: [{ service: SERVICE, weight: 1 }],
    },
  },
  services: {
    [SERVICE]: {
      healthPath: '/health', connectionLimit: 100, coldMs: 1000, coldRequestsPerSecond: 5,
    },
  },
  limits: {
    maxHeaderBytes: 16384, maxBodyBytes: 1e6, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
  },
  source: '',
};

interface FleetOptions {
  readonly entries: number;
  readonly targets: number;
  readonly seed: number;
  readonly probesPerSecond: number;
  readonly closesConnections: boolean;
  readonly resetsWhenFull: boolean;
}

interface StartOptions {
  readonly coldMs: number;
  /** Id and address; those of the former process if not given. */
  readonly id?: string;
  readonly address?: string;
}

/** Several entries, a control group and targets on one virtual clock. */
export default class Fleet {
  readonly clock: FleetClock;

  readonly random: Random;

  readonly control: FleetControl;

  readonly entries: FleetEntry[];

  /** All processes of targets, in the order of their starts. */
  readonly processes: FleetProcess[] = [];

  /** Targets whose processes send heartbeats. */
  readonly beating = new Set<number>();

  /** Present processes of the targets that have started again. */
  private readonly successors = new Map<number, FleetProcess>();

  /** Last sequence number of each process. */
  private readonly sequences = new Map<FleetProcess, number>();

  constructor(t: TestContext, private readonly options: FleetOptions) {
    this.clock = new FleetClock(t);
    this.random = createRandom(options.seed);
    this.control = new FleetControl(this.clock, this.random, (view) => (
      this.entries.forEach((entry) => entry.update(view))));
    const { clock, random, control } = this;
    const names = Array.from({ length: options.entries }, (_, index) => `entry-${index}`);
    this.entries = names.map((name) => new FleetEntry({
      name,
      clock,
      control,
      random,
      declaration: DECLARATION,
      probesPerSecond: options.probesPerSecond,
      findListener: (address) => this.processes.find((process) => (
        process.isListening && process.options.address === address)),
    }));
    this.entries.forEach((entry) => entry.join(names));
    for (let index = 0; index < options.targets; index += 1) {
      const process = this.startProcess(`i-${index}`, `10.0.0.${index + 1}:80`, 0);
      this.announce(process);
      this.beating.add(index);
      clock.every(HEARTBEAT_MS, () => this.beat(index));
    }
    const intervalMs = (MS_PER_SECOND * options.entries) / REQUESTS_PER_SECOND;
    this.entries.forEach((entry) => clock.after(random() * intervalMs, () => {
      clock.every(intervalMs, () => entry.request());
    }));
  }

  /** @returns the process that a target has now */
  find(index: number): FleetProcess {
    const process = this.successors.get(index) ?? this.processes[index];
    if (process === undefined) throw new Error(`no target ${index}`);
    return process;
  }

  /** Starts a process in the place of that of a target; the former one goes on as it is. */
  start(index: number, { coldMs, id, address }: StartOptions): FleetProcess {
    const { options } = this.find(index);
    const process = this.startProcess(id ?? options.id, address ?? options.address, coldMs);
    this.successors.set(index, process);
    return process;
  }

  /** Announces a process to control. */
  announce(process: FleetProcess): void {
    const { id, address, slots } = process.options;
    const sequence = (this.sequences.get(process) ?? 0) + 1;
    this.sequences.set(process, sequence);
    this.control.submit({
      kind: 'announce',
      target: {
        id,
        service: SERVICE,
        address,
        dataCentre: Fleet.dataCentreOf(id),
        slots,
        state: 'ready',
        bornAtMs: process.bornAtMs,
        sequence,
        coldLeftMs: process.coldLeftMs,
      },
    });
  }

  /** @returns the data centre of a target: each has its own */
  static dataCentreOf(id: string): string {
    return `zone-${id.split('-')[1] ?? ''}`;
  }

  private beat(index: number): void {
    if (this.beating.has(index)) this.announce(this.find(index));
  }

  private startProcess(id: string, address: string, coldMs: number): FleetProcess {
    const { closesConnections, resetsWhenFull } = this.options;
    const process = new FleetProcess({
      id, address, slots: SLOTS, workMs: WORK_MS, coldMs, closesConnections, resetsWhenFull,
    }, this.clock);
    this.processes.push(process);
    return process;
  }
}
