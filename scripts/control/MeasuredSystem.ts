import OperatorClient from '@guavayard/operator/OperatorClient';

import eventually from '../../test/support/eventually';
import reservePort from '../../test/support/reservePort';
import VmProcess from '../../test/support/VmProcess';

const REGIONS = ['munster', 'leinster', 'connacht'];

function findPlace(index: number): { region: string; dataCentre: string } {
  const region = REGIONS[index % REGIONS.length] ?? '';
  return { region, dataCentre: `${region}-${1 + (Math.floor(index / REGIONS.length) % 2)}` };
}

/** Control VMs and entries as processes on the loopback address. */
export default class MeasuredSystem {
  readonly control: VmProcess[] = [];

  readonly entries: VmProcess[] = [];

  version = 0;

  private addresses: string[] = [];

  /**
   * Starts the control VMs and waits until all of them vote.
   *
   * @param voters - how many
   */
  async start(voters: number): Promise<void> {
    const ports = await Promise.all(Array.from({ length: voters }, async () => reservePort()));
    this.addresses = ports.map((port) => `127.0.0.1:${port}`);
    this.addresses.forEach((listen, index) => this.control.push(new VmProcess({
      name: `control-${index + 1}`,
      ...findPlace(index),
      roles: ['control'],
      listen,
      control: this.addresses,
    })));
    await this.control[0]?.runCommand('init');
    await Promise.all(this.control.map(async (vm) => vm.start()));
    await eventually('all voters', async () => {
      const answer = await this.client(0).enforcement();
      return answer.ok && answer.val.voters.length === voters ? true : undefined;
    });
  }

  /**
   * Starts further entries and waits until all of them hold a lease.
   *
   * @param count - how many
   */
  async addEntries(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      const entry = new VmProcess({
        name: `entry-${this.entries.length + 1}`,
        ...findPlace(this.entries.length),
        roles: ['entry'],
        control: this.addresses,
      });
      this.entries.push(entry);
      // eslint-disable-next-line no-await-in-loop -- a few processes start at a time
      await entry.start();
    }
    await eventually('all leases', async () => {
      const answer = await this.client(0).enforcement();
      const isComplete = answer.ok && answer.val.inForceVersion !== undefined;
      return isComplete && answer.val.entries.length === this.entries.length ? true : undefined;
    });
  }

  /** Ends everything. */
  async remove(): Promise<void> {
    await Promise.all([...this.control, ...this.entries].map(async (vm) => vm.remove()));
  }

  /**
   * @param at - number of a control VM
   * @returns a client of its operators' API
   */
  client(at: number): OperatorClient {
    const vm = this.control[at] as VmProcess;
    return new OperatorClient(`http://${vm.address('operator')}`, vm.token);
  }

  /**
   * @param at - number of a control VM that runs
   * @returns number of the control VM that leads
   */
  async findLeader(at: number): Promise<number> {
    const { leader } = (await this.client(at).enforcement()).unwrap();
    return Number(leader.split('-')[1]) - 1;
  }

  /**
   * Submits a patch of one operation.
   *
   * @param at - number of a control VM
   */
  async submit(at: number): Promise<void> {
    const accepted = await this.client(at).submit({
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

  /** Waits until every entry has told that it dispatches under the latest version. */
  async waitUntilInForce(): Promise<void> {
    await Promise.all(this.entries.map(async (entry) => entry.waitForLine((line) => (
      line.msg === 'configuration in force' && line.version === this.version
    ))));
  }
}
