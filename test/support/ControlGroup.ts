import { rmSync } from 'node:fs';
import { join } from 'node:path';

import type ConfigurationEnforcement from '@guavayard/core/configuration/ConfigurationEnforcement';
import OperatorClient from '@guavayard/operator/OperatorClient';

import reservePort from '@guavayard/emulator/reservePort';
import eventually from './eventually';
import LinkRelay from './LinkRelay';
import VmProcess from './VmProcess';

const VM_COUNT = 3;
const REGIONS = ['munster', 'leinster', 'connacht'];

interface Link {
  readonly from: number;
  readonly to: number;
  readonly relay: LinkRelay;
}

/** Three control VMs in three regions, each of which can be partitioned from the others. */
export default class ControlGroup {
  readonly vms: VmProcess[] = [];

  /** Addresses for sessions, to which entries connect. */
  readonly addresses: string[] = [];

  private readonly links: Link[] = [];

  /** Starts the VMs and waits until all of them are voters. */
  async start(): Promise<void> {
    const ports = await Promise.all(REGIONS.map(async () => reservePort()));
    this.addresses.push(...ports.map((port) => `127.0.0.1:${port}`));
    const control = await Promise.all(
      ports.map(async (_port, from) => this.createRelays(from, ports)),
    );
    REGIONS.forEach((region, index) => this.vms.push(new VmProcess({
      name: `control-${index + 1}`,
      region,
      dataCentre: `${region}-1`,
      roles: ['control'],
      listen: this.addresses[index],
      control: control[index] ?? [],
    })));
    await this.vms[0]?.runCommand('init');
    await Promise.all(this.vms.map(async (vm) => vm.start()));
    await this.waitForVoters();
  }

  /** Kills the VMs, removes their folders and closes the links. */
  async remove(): Promise<void> {
    await Promise.all(this.vms.map(async (vm) => vm.remove()));
    this.links.forEach(({ relay }) => relay.close());
  }

  /**
   * @param index - index of a VM, modulo the number of VMs
   * @returns the VM
   */
  vm(index: number): VmProcess {
    return this.vms[index % VM_COUNT] as VmProcess;
  }

  /**
   * @param index - index of a VM
   * @returns a client of its operator API
   */
  client(index: number): OperatorClient {
    const vm = this.vm(index);
    return new OperatorClient(`http://${vm.address('operator')}`, vm.token);
  }

  /**
   * Partitions a VM from the others: its messages are lost, its connections stay open.
   *
   * @param index - index of the VM
   */
  isolate(index: number): void {
    this.links
      .filter(({ from, to }) => from === index || to === index)
      .forEach(({ relay }) => relay.cut());
  }

  /** Restores all links. */
  heal(): void {
    this.links.forEach(({ relay }) => relay.heal());
  }

  /**
   * @param index - index of a running VM
   * @returns index of the leader
   */
  async findLeader(index: number): Promise<number> {
    const { leader } = await this.enforcement(index);
    return Number(leader.split('-')[1]) - 1;
  }

  /**
   * @param index - index of a running VM
   * @returns the state of enforcement as reported by the leader, once one is elected
   */
  async enforcement(index: number): Promise<ConfigurationEnforcement> {
    return eventually('a leader', async () => {
      const response = await this.client(index).enforcement();
      return response.ok ? response.val : undefined;
    });
  }

  /**
   * Waits until all VMs are voters.
   *
   * @param index - index of a running VM
   */
  async waitForVoters(index = 0): Promise<void> {
    await eventually(`${VM_COUNT} voters`, async () => {
      const { voters, learners } = await this.enforcement(index);
      return voters.length === VM_COUNT && learners.length === 0 ? voters : undefined;
    });
  }

  /**
   * Waits until a VM itself has applied a version of the configuration.
   *
   * @param index - index of the VM
   * @param version - the lowest version to wait for
   */
  async waitForVersion(index: number, version: number): Promise<void> {
    await eventually(`version ${version} on VM ${index}`, async () => {
      const status = await this.client(index).status();
      return status.ok && status.val.version >= version ? status.val : undefined;
    });
  }

  /**
   * Removes the data folder of a stopped VM, as if its disk were lost.
   *
   * @param index - index of the VM
   */
  deleteDataFolder(index: number): void {
    rmSync(join(this.vm(index).folder, 'data'), { recursive: true });
  }

  private async createRelays(from: number, ports: readonly number[]): Promise<string[]> {
    const others = ports.flatMap((port, to) => (to === from ? [] : [{ port, to }]));
    return Promise.all(others.map(async ({ port, to }) => {
      const relay = new LinkRelay(port);
      this.links.push({ from, to, relay });
      return relay.listen();
    }));
  }
}
