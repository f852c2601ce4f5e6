import type Declaration from '@guavayard/core/registry/Declaration';
import type Random from '@guavayard/core/types/Random';

import type SimulatedClock from './SimulatedClock';
import SimulatedControl from './SimulatedControl';
import SimulatedNetwork from './SimulatedNetwork';

/** Time in which a calm VM acknowledges a change, in milliseconds. */
const ACK_MS = 4000;
const RETRY_MS = 100;
const SEEDS = 3;
const MAX_LINES = 2000;
const MAX_SYNC_MS = 30;

function createDeclaration(version: number): Declaration {
  return {
    version,
    routes: {},
    services: {},
    limits: {
      maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
    },
    source: `version ${version}`,
  };
}

/** A control group whose VMs run on simulated connections, disks and clocks. */
export default class SimulatedGroup {
  readonly vms: SimulatedControl[] = [];

  readonly network: SimulatedNetwork;

  /** The highest version that was acknowledged. */
  acknowledged = 0;

  /** Shortest and longest time of a sync, in milliseconds. */
  readonly syncMs = { min: 0, max: MAX_SYNC_MS };

  readonly lines: string[] = [];

  /** The voters of the newest change of the members that any VM has logged. */
  private members: { readonly index: number; readonly voters: readonly string[] } = {
    index: 0, voters: [],
  };

  private sent = 0;

  private readonly seeds: readonly string[];

  constructor(
    readonly size: number,
    private readonly clock: SimulatedClock,
    readonly random: Random,
  ) {
    this.network = new SimulatedNetwork(clock, random);
    const names = Array.from({ length: size }, (_value, index) => `10.0.0.${index + 2}`);
    this.seeds = names.slice(0, SEEDS);
    const founders = this.seeds.map((seed) => `${seed}#00`);
    this.members = { index: 0, voters: founders };
    names.forEach((name) => this.add(name, founders));
  }

  /** Number of VMs that may be lost at the same time. */
  get lostVms(): number {
    return (this.size - 1) / 2;
  }

  get nowMs(): number {
    return this.clock.nowMs;
  }

  /** Starts a new VM, with an empty disk unless it is among the founders. */
  add(name: string, founders: readonly string[] = []): SimulatedControl {
    const vm = new SimulatedControl(name, {
      clock: this.clock,
      network: this.network,
      random: this.random,
      seeds: this.seeds.map(SimulatedControl.addressOf),
      founders,
      requiredVoters: this.size,
      syncMs: this.syncMs,
      log: (line) => {
        this.lines.push(line);
        if (this.lines.length > MAX_LINES) this.lines.shift();
      },
      onMembers: (members) => {
        if (members.index > this.members.index) this.members = members;
      },
    });
    this.vms.push(vm);
    return vm;
  }

  /** Removes a VM for good. */
  remove(vm: SimulatedControl, hasPower: boolean): void {
    vm.stop(hasPower);
    this.vms.splice(this.vms.indexOf(vm), 1);
  }

  /** Cuts two VMs off from each other until the network heals. */
  separate(one: SimulatedControl, other: SimulatedControl): void {
    this.network.cut(one.name, other.name);
    this.network.cut(other.name, one.name);
  }

  /** Sends a change to a VM. */
  change(vm: SimulatedControl): void {
    if (!vm.isUp) return;
    this.sent += 1;
    const version = this.sent;
    vm.act(() => {
      vm.task.declare(createDeclaration(version)).then((result) => {
        if (result.ok && vm.isUp) this.acknowledged = Math.max(this.acknowledged, version);
      }, () => undefined);
    });
  }

  note(text: string): void {
    this.lines.push(`${Math.round(this.nowMs)} ---- ${text}`);
  }

  async run(durationMs: number): Promise<void> {
    await this.clock.run(durationMs);
  }

  async wait(maxMs: number): Promise<void> {
    await this.run(Math.floor(this.random() * maxMs));
  }

  /** Checks that each VM is a voter, hears the leader and holds what was acknowledged. */
  checkWhole(): void {
    const { voters } = this.members;
    const missing = this.vms.filter(({ replica }) => !voters.includes(replica));
    if (missing.length > 0 || voters.length < this.size) {
      this.fail(`the voters are ${voters.join()}, not ${missing.map(({ replica }) => replica).join()}`);
    }
    this.vms.forEach(({ name, task }) => {
      if (!task.isCurrent) this.fail(`${name} hears no leader`);
      if (task.version < this.acknowledged) this.fail(`${name} has version ${task.version} of ${this.acknowledged}`);
    });
  }

  /** Checks, after a calm time, that the group is whole and that each VM has a change made. */
  async check(): Promise<void> {
    this.checkWhole();
    for (let index = 0; index < this.vms.length; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- one may hide that another takes none
      await this.checkChange(this.vms[index] as SimulatedControl);
    }
  }

  private async checkChange(vm: SimulatedControl): Promise<void> {
    const endMs = this.nowMs + ACK_MS;
    const first = this.sent + 1;
    while (this.acknowledged < first) {
      if (this.nowMs >= endMs) this.fail(`${vm.name} takes no change`);
      this.change(vm);
      // eslint-disable-next-line no-await-in-loop -- one after the other
      await this.run(RETRY_MS);
    }
  }

  private fail(reason: string): never {
    throw new Error(`${reason} at ${this.nowMs} ms`);
  }
}
