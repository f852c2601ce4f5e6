import OperatorClient from '@guavayard/operator/OperatorClient';

import findFreePorts from '../../test/support/findFreePorts';
import VmProcess from '../../test/support/VmProcess';
import PLACES from './places';

const CONTROL_VMS = 3;
const RETRY_MS = 100;
const TRIES = 100;

/** The VMs of a soak: three voters and an entry in each data centre, as processes. */
export default class SoakCluster {
  private constructor(
    readonly controls: readonly VmProcess[],
    readonly entries: readonly VmProcess[],
  ) {}

  /**
   * Starts all VMs of a new system.
   *
   * @returns the running system
   */
  static async start(): Promise<SoakCluster> {
    const ports = await findFreePorts(CONTROL_VMS);
    const control = ports.map((port) => `127.0.0.1:${port}`);
    const controls = control.map((listen, index) => new VmProcess({
      name: `control-${index}`, ...SoakCluster.place(index), roles: ['control'], control, listen,
    }));
    const entries = PLACES.map((place, index) => new VmProcess({
      name: `entry-${index}`, ...place, roles: ['entry'], control,
    }));
    await controls[0]?.runCommand('init');
    await Promise.all([...controls, ...entries].map(async (vm) => vm.start()));
    return new SoakCluster(controls, entries);
  }

  /** @returns a client of any control VM that runs */
  client(): OperatorClient {
    const running = this.controls.filter((vm) => vm.isRunning);
    const vm = running[Math.floor(Math.random() * running.length)];
    if (vm === undefined) throw new Error('no control VM runs');
    return new OperatorClient(`http://${vm.address('operator')}`, vm.token);
  }

  /** Waits until every control VM votes. */
  async waitForVoters(): Promise<void> {
    for (let tries = 0; tries < TRIES; tries += 1) {
      /* eslint-disable no-await-in-loop -- asks again until it is so */
      const overview = await this.client().vms();
      const voters = overview.ok
        ? overview.val.vms.flatMap((vm) => vm.control?.voters.length ?? 0) : [];
      if (voters.includes(CONTROL_VMS)) return;
      await new Promise((resolve) => {
        setTimeout(resolve, RETRY_MS);
      });
      /* eslint-enable no-await-in-loop */
    }
    throw new Error(`there are no ${CONTROL_VMS} voters`);
  }

  /** Ends all VMs. */
  async remove(): Promise<void> {
    await Promise.all([...this.controls, ...this.entries].map(async (vm) => vm.remove()));
  }

  private static place(index: number): { region: string; dataCentre: string } {
    return PLACES[index % PLACES.length] as { region: string; dataCentre: string };
  }
}
