import { rmSync } from 'node:fs';
import { join } from 'node:path';

import type ConfigurationEnforcement from '@guavayard/core/configuration/ConfigurationEnforcement';
import OperatorClient from '@guavayard/operator/OperatorClient';

import eventually from './eventually';
import LinkRelay from './LinkRelay';
import reservePort from './reservePort';
import VmProcess from './VmProcess';

const SIZE = 3;
const REGIONS = ['munster', 'leinster', 'connacht'];

interface Link {
  readonly from: number;
  readonly to: number;
  readonly relay: LinkRelay;
}

/** Three control VMs in three regions, any of which can be cut off from the others. */
export default class ControlGroup {
  readonly vms: VmProcess[] = [];

  /** Addresses for sessions, by which entries connect. */
  readonly addresses: string[] = [];

  private readonly links: Link[] = [];

  /** Starts the VMs and waits until all of them vote. */
  async start(): Promise<void> {
    const ports = await Promise.all(REGIONS.map(async () => reservePort()));
    this.addresses.push(...ports.map((port) => `127.0.0.1:${port}`));
    const control = await Promise.all(ports.map(async (_port, from) => this.link(from, ports)));
    REGIONS.forEach((region, at) => this.vms.push(new VmProcess({
      name: `control-${at + 1}`,
      region,
      dataCentre: `${region}-1`,
      roles: ['control'],
      listen: this.addresses[at],
      control: control[at] ?? [],
    })));
    await this.vms[0]?.runCommand('init');
    await Promise.all(this.vms.map(async (vm) => vm.start()));
    await this.waitForVoters();
  }

  /** Ends everything. */
  async remove(): Promise<void> {
    await Promise.all(this.vms.map(async (vm) => vm.remove()));
    this.links.forEach(({ relay }) => relay.close());
  }

  /**
   * @param at - number of a VM
   * @returns the VM
   */
  vm(at: number): VmProcess {
    return this.vms[at % SIZE] as VmProcess;
  }

  /**
   * @param at - number of a VM
   * @returns a client of its operators' API
   */
  client(at: number): OperatorClient {
    const vm = this.vm(at);
    return new OperatorClient(`http://${vm.address('operator')}`, vm.token);
  }

  /**
   * Cuts a VM off from the others, silently.
   *
   * @param at - number of the VM
   */
  cutOff(at: number): void {
    this.links
      .filter(({ from, to }) => from === at || to === at)
      .forEach(({ relay }) => relay.cut());
  }

  /** Mends all links. */
  mend(): void {
    this.links.forEach(({ relay }) => relay.mend());
  }

  /**
   * @param at - number of a VM that runs
   * @returns number of the VM that leads
   */
  async findLeader(at: number): Promise<number> {
    const { leader } = await this.enforcement(at);
    return Number(leader.split('-')[1]) - 1;
  }

  /**
   * @param at - number of a VM that runs
   * @returns what the leader tells, once there is one
   */
  async enforcement(at: number): Promise<ConfigurationEnforcement> {
    return eventually('a leader', async () => {
      const answer = await this.client(at).enforcement();
      return answer.ok ? answer.val : undefined;
    });
  }

  /**
   * Waits until all VMs vote.
   *
   * @param at - number of a VM that runs
   */
  async waitForVoters(at = 0): Promise<void> {
    await eventually(`${SIZE} voters`, async () => {
      const { voters, learners } = await this.enforcement(at);
      return voters.length === SIZE && learners.length === 0 ? voters : undefined;
    });
  }

  /**
   * Waits until a VM has applied a version by itself.
   *
   * @param at - number of the VM
   * @param version - the version
   */
  async waitForVersion(at: number, version: number): Promise<void> {
    await eventually(`version ${version} on VM ${at}`, async () => {
      const status = await this.client(at).status();
      return status.ok && status.val.version >= version ? status.val : undefined;
    });
  }

  /**
   * Removes the data folder of a VM that does not run.
   *
   * @param at - number of the VM
   */
  loseDisk(at: number): void {
    rmSync(join(this.vm(at).folder, 'data'), { recursive: true });
  }

  private async link(from: number, ports: readonly number[]): Promise<string[]> {
    const others = ports.flatMap((port, to) => (to === from ? [] : [{ port, to }]));
    return Promise.all(others.map(async ({ port, to }) => {
      const relay = new LinkRelay(port);
      this.links.push({ from, to, relay });
      return relay.listen();
    }));
  }
}
