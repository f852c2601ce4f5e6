import type Random from '@guavayard/core/types/Random';

import type VmProcess from '../../test/support/VmProcess';
import DATA_CENTRES from './dataCentres';
import type SoakCluster from './SoakCluster';
import type SoakLedger from './SoakLedger';
import type SoakTarget from './SoakTarget';

const RESTART_DELAY_MS = 1000;
const MIN_FREEZE_MS = 500;
const MAX_FREEZE_MS = 6000;
const TARGET_RESTART_DELAY_MS = 700;
const OUTAGE_MS = 12_000;

async function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function pick<Item>(items: readonly Item[], random: Random): Item {
  return items[Math.floor(random() * items.length)] as Item;
}

/** Injects random faults: VM and target failures, and data centres taken out of service. */
export default class SoakFaults {
  private readonly busy = new Set<unknown>();

  private patches = 0;

  constructor(
    private readonly cluster: SoakCluster,
    private readonly targets: readonly SoakTarget[],
    private readonly ledger: SoakLedger,
    private readonly random: Random,
    private readonly log: (line: string) => void,
  ) {}

  /** Injects one fault and recovers from it. */
  async injectOne(): Promise<void> {
    const faults = [
      async () => this.kill(this.cluster.entries),
      async () => this.freeze(this.cluster.entries),
      async () => this.kill(this.cluster.controls),
      async () => this.freeze(this.cluster.controls),
      async () => this.crashTarget(),
      async () => this.takeDataCentreOut(),
      async () => this.restart(this.cluster.entries),
    ];
    await pick(faults, this.random)();
  }

  /**
   * Submits a patch, with retries under the same id, until it is accepted.
   *
   * @param path - JSON pointer of the value to add
   * @param value - the value
   * @returns once the patch is accepted
   */
  async patch(path: string, value: unknown): Promise<void> {
    this.patches += 1;
    const id = `soak-${this.patches}`;
    /* eslint-disable no-await-in-loop -- attempts are sequential */
    for (;;) {
      const current = await this.cluster.client().configuration();
      if (current.ok) {
        const patch = { id, base: current.val.version, operations: [{ op: 'add', path, value }] };
        if (await this.submit(patch as Parameters<SoakFaults['submit']>[0])) return;
      }
      await sleep(100);
    }
    /* eslint-enable no-await-in-loop */
  }

  private async submit(
    patch: Parameters<ReturnType<SoakCluster['client']>['submit']>[0],
  ): Promise<boolean> {
    const submitted = await this.cluster.client().submit(patch);
    if (submitted.ok) return true;
    for (let attempt = 0; attempt < 100; attempt += 1) {
      /* eslint-disable no-await-in-loop -- the outcome may have to wait for a new leader */
      const outcome = await this.cluster.client().outcome(patch.id, patch.base);
      if (outcome.ok && outcome.val.outcome === 'accepted') return true;
      if (outcome.ok && outcome.val.outcome !== 'undecided') return false;
      const resubmitted = await this.cluster.client().submit(patch);
      if (resubmitted.ok) return true;
      await sleep(100);
      /* eslint-enable no-await-in-loop */
    }
    throw new Error(`the outcome of patch ${patch.id} is still unknown after 100 attempts`);
  }

  private async kill(vms: readonly VmProcess[]): Promise<void> {
    await this.withIdle(vms, async (vm, name) => {
      this.log(`kill ${name}`);
      await vm.stop('SIGKILL');
      await sleep(RESTART_DELAY_MS);
      await vm.start();
    });
  }

  private async restart(vms: readonly VmProcess[]): Promise<void> {
    await this.withIdle(vms, async (vm, name) => {
      this.log(`restart ${name}`);
      await vm.stop('SIGTERM');
      await vm.start();
      this.log(`restarted ${name}`);
    });
  }

  private async freeze(vms: readonly VmProcess[]): Promise<void> {
    await this.withIdle(vms, async (vm, name) => {
      const ms = MIN_FREEZE_MS + this.random() * (MAX_FREEZE_MS - MIN_FREEZE_MS);
      this.log(`freeze ${name} for ${ms.toFixed(0)} ms`);
      process.kill(vm.pid, 'SIGSTOP');
      await sleep(ms);
      process.kill(vm.pid, 'SIGCONT');
    });
  }

  private async crashTarget(): Promise<void> {
    await this.withIdle(this.targets, async (target, name) => {
      this.log(`crash target ${name}`);
      target.crash();
      await sleep(TARGET_RESTART_DELAY_MS);
      await target.start();
    });
  }

  private async takeDataCentreOut(): Promise<void> {
    await this.withIdle(DATA_CENTRES, async ({ region, dataCentre }) => {
      await this.patch(`/dataCentres/${dataCentre}`, { region, state: 'out' });
      const outage = { dataCentre, acceptedAtMs: performance.now(), endedAtMs: Infinity };
      this.ledger.outages.push(outage);
      this.log(`${dataCentre} out`);
      await sleep(OUTAGE_MS);
      outage.endedAtMs = performance.now();
      await this.patch(`/dataCentres/${dataCentre}`, { region, state: 'in' });
      this.log(`${dataCentre} in`);
    });
  }

  private async withIdle<Item>(
    items: readonly Item[],
    inject: (item: Item, name: string) => Promise<void>,
  ): Promise<void> {
    // One fault per group at a time: two of three voters must not be down together.
    const item = pick(items, this.random);
    if (this.busy.has(items)) return;
    this.busy.add(items);
    try {
      await inject(item, String(items.indexOf(item)));
    } finally {
      this.busy.delete(items);
    }
  }
}
