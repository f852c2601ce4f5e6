import OperatorClient from '@guavayard/operator/OperatorClient';

import findFreePorts from '../../test/support/findFreePorts';
import VmProcess from '../../test/support/VmProcess';
import DATA_CENTRES from './dataCentres';

const CONTROL_VMS = 3;
const RETRY_MS = 100;
const MAX_ATTEMPTS = 100;

/** The VM processes of a soak test: three voters, and an entry in each data centre. */
export default class SoakCluster {
  private constructor(
    readonly controls: readonly VmProcess[],
    readonly entries: readonly VmProcess[],
  ) {}

  /**
   * Starts all VMs of a new cluster.
   *
   * @returns the running cluster
   */
  static async start(): Promise<SoakCluster> {
    const ports = await findFreePorts(CONTROL_VMS);
    const control = ports.map((port) => `127.0.0.1:${port}`);
    const controls = control.map((listen, index) => new VmProcess({
      name: `control-${index}`, ...SoakCluster.locationOf(index), roles: ['control'], control, listen,
    }));
    const entries = DATA_CENTRES.map((location, index) => new VmProcess({
      name: `entry-${index}`, ...location, roles: ['entry'], control,
    }));
    await controls[0]?.runCommand('init');
    await Promise.all([...controls, ...entries].map(async (vm) => vm.start()));
    return new SoakCluster(controls, entries);
  }

  /** @returns a client of a random running control VM */
  client(): OperatorClient {
    const running = this.controls.filter((vm) => vm.isRunning);
    const vm = running[Math.floor(Math.random() * running.length)];
    if (vm === undefined) throw new Error('no control VM is running');
    return new OperatorClient(`http://${vm.address('operator')}`, vm.token);
  }

  /** Waits until every control VM is a voter. */
  async waitForVoters(): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      /* eslint-disable no-await-in-loop -- polls until the condition holds */
      const overview = await this.client().vms();
      const voters = overview.ok
        ? overview.val.vms.flatMap((vm) => vm.control?.voters.length ?? 0) : [];
      if (voters.includes(CONTROL_VMS)) return;
      await new Promise((resolve) => {
        setTimeout(resolve, RETRY_MS);
      });
      /* eslint-enable no-await-in-loop */
    }
    throw new Error(`timed out waiting for ${CONTROL_VMS} voters`);
  }

  /** Stops and removes all VMs. */
  async remove(): Promise<void> {
    await Promise.all([...this.controls, ...this.entries].map(async (vm) => vm.remove()));
  }

  private static locationOf(index: number): { region: string; dataCentre: string } {
    return DATA_CENTRES[index % DATA_CENTRES.length] as { region: string; dataCentre: string };
  }
}
