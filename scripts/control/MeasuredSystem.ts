import OperatorClient from '@guavayard/operator/OperatorClient';

import reservePort from '@guavayard/emulator/reservePort';
import eventually from '../../test/support/eventually';
import VmProcess from '../../test/support/VmProcess';

const REGIONS = ['munster', 'leinster', 'connacht'];

function locationOf(index: number): { region: string; dataCentre: string } {
  const region = REGIONS[index % REGIONS.length] ?? '';
  return { region, dataCentre: `${region}-${1 + (Math.floor(index / REGIONS.length) % 2)}` };
}

/** A cluster of control VMs and entries, as processes on the loopback address. */
export default class MeasuredSystem {
  readonly control: VmProcess[] = [];

  readonly entries: VmProcess[] = [];

  version = 0;

  private addresses: string[] = [];

  /**
   * Starts the control VMs and waits until all of them are voters.
   *
   * @param voters - number of control VMs
   */
  async start(voters: number): Promise<void> {
    const ports = await Promise.all(Array.from({ length: voters }, async () => reservePort()));
    this.addresses = ports.map((port) => `127.0.0.1:${port}`);
    this.addresses.forEach((listen, index) => this.control.push(new VmProcess({
      name: `control-${index + 1}`,
      ...locationOf(index),
      roles: ['control'],
      listen,
      control: this.addresses,
    })));
    await this.control[0]?.runCommand('init');
    await Promise.all(this.control.map(async (vm) => vm.start()));
    await eventually('all voters', async () => {
      const result = await this.client(0).enforcement();
      return result.ok && result.val.voters.length === voters ? true : undefined;
    });
  }

  /**
   * Starts more entries and waits until every entry holds a lease.
   *
   * @param count - number of entries to add
   */
  async addEntries(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      const entry = new VmProcess({
        name: `entry-${this.entries.length + 1}`,
        ...locationOf(this.entries.length),
        roles: ['entry'],
        control: this.addresses,
      });
      this.entries.push(entry);
      // eslint-disable-next-line no-await-in-loop -- processes start one at a time
      await entry.start();
    }
    await eventually('all leases', async () => {
      const result = await this.client(0).enforcement();
      const isComplete = result.ok && result.val.inForceVersion !== undefined;
      return isComplete && result.val.entries.length === this.entries.length ? true : undefined;
    });
  }

  /** Stops and removes all VMs. */
  async remove(): Promise<void> {
    await Promise.all([...this.control, ...this.entries].map(async (vm) => vm.remove()));
  }

  /**
   * @param index - index of a control VM
   * @returns a client of its operator API
   */
  client(index: number): OperatorClient {
    const vm = this.control[index] as VmProcess;
    return new OperatorClient(`http://${vm.address('operator')}`, vm.token);
  }

  /**
   * @param index - index of a running control VM
   * @returns index of the leader
   */
  async findLeader(index: number): Promise<number> {
    const { leader } = (await this.client(index).enforcement()).unwrap();
    return Number(leader.split('-')[1]) - 1;
  }

  /**
   * Submits a patch with one operation.
   *
   * @param index - index of a control VM
   */
  async submit(index: number): Promise<void> {
    const accepted = await this.client(index).submit({
      id: `patch-${this.version}`,
      base: this.version,
      operations: [{
        op: 'add',
        path: '/dataCentres/munster-1',
        value: { region: 'munster', state: this.version % 2 === 0 ? 'in' : 'out' },
      }],
    });
    this.version = accepted.unwrap();
  }

  /** Waits until every entry has logged that the latest version is in force. */
  async waitUntilInForce(): Promise<void> {
    await Promise.all(this.entries.map(async (entry) => entry.waitForLine((line) => (
      line.msg === 'configuration in force' && line.version === this.version
    ))));
  }
}
