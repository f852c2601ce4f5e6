import type Random from '@guavayard/core/types/Random';

import type VmProcess from '../../test/support/VmProcess';
import PLACES from './places';
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

/** Causes failures of VMs, targets and operators at random. */
export default class SoakFaults {
  private readonly busy = new Set<unknown>();

  private patches = 0;

  constructor(
    private readonly cluster: SoakCluster,
    private readonly targets: readonly SoakTarget[],
    private readonly ledger: SoakLedger,
    private readonly random: Random,
    private readonly note: (line: string) => void,
  ) {}

  /** Causes one failure and mends it. */
  async causeOne(): Promise<void> {
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
   * Submits a patch until its outcome is known, with resends under one id.
   *
   * @param path - where to put the value
   * @param value - the value
   * @returns once it is accepted
   */
  async patch(path: string, value: unknown): Promise<void> {
    this.patches += 1;
    const id = `soak-${this.patches}`;
    /* eslint-disable no-await-in-loop -- each try waits for the one before */
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
    for (let tries = 0; tries < 100; tries += 1) {
      /* eslint-disable no-await-in-loop -- the outcome may take a new leader */
      const outcome = await this.cluster.client().outcome(patch.id, patch.base);
      if (outcome.ok && outcome.val.outcome === 'accepted') return true;
      if (outcome.ok && outcome.val.outcome !== 'undecided') return false;
      const resent = await this.cluster.client().submit(patch);
      if (resent.ok) return true;
      await sleep(100);
      /* eslint-enable no-await-in-loop */
    }
    throw new Error(`the outcome of ${patch.id} is never known`);
  }

  private async kill(vms: readonly VmProcess[]): Promise<void> {
    await this.withFree(vms, async (vm, name) => {
      this.note(`kill ${name}`);
      await vm.stop('SIGKILL');
      await sleep(RESTART_DELAY_MS);
      await vm.start();
    });
  }

  private async restart(vms: readonly VmProcess[]): Promise<void> {
    await this.withFree(vms, async (vm, name) => {
      this.note(`restart ${name}`);
      await vm.stop('SIGTERM');
      await vm.start();
      this.note(`restarted ${name}`);
    });
  }

  private async freeze(vms: readonly VmProcess[]): Promise<void> {
    await this.withFree(vms, async (vm, name) => {
      const ms = MIN_FREEZE_MS + this.random() * (MAX_FREEZE_MS - MIN_FREEZE_MS);
      this.note(`freeze ${name} for ${ms.toFixed(0)} ms`);
      process.kill(vm.pid, 'SIGSTOP');
      await sleep(ms);
      process.kill(vm.pid, 'SIGCONT');
    });
  }

  private async crashTarget(): Promise<void> {
    await this.withFree(this.targets, async (target, name) => {
      this.note(`crash target ${name}`);
      target.crash();
      await sleep(TARGET_RESTART_DELAY_MS);
      await target.start();
    });
  }

  private async takeDataCentreOut(): Promise<void> {
    await this.withFree(PLACES, async ({ region, dataCentre }) => {
      await this.patch(`/dataCentres/${dataCentre}`, { region, state: 'out' });
      const outage = { dataCentre, acceptedAtMs: performance.now(), endedAtMs: Infinity };
      this.ledger.outages.push(outage);
      this.note(`${dataCentre} out`);
      await sleep(OUTAGE_MS);
      outage.endedAtMs = performance.now();
      await this.patch(`/dataCentres/${dataCentre}`, { region, state: 'in' });
      this.note(`${dataCentre} in`);
    });
  }

  private async withFree<Item>(
    items: readonly Item[],
    cause: (item: Item, name: string) => Promise<void>,
  ): Promise<void> {
    // One failure at a time of each kind: two voters of three may not be gone at once.
    const item = pick(items, this.random);
    if (this.busy.has(items)) return;
    this.busy.add(items);
    try {
      await cause(item, String(items.indexOf(item)));
    } finally {
      this.busy.delete(items);
    }
  }
}
