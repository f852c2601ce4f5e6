import { once } from 'node:events';
import { performance } from 'node:perf_hooks';

import { createLogger } from 'bunyan';

import createDurableState from '@guavayard/core/consensus/createDurableState';
import type DurableState from '@guavayard/core/consensus/DurableState';

import reservePort from '@guavayard/emulator/reservePort';
import RegistrySubscription from '../../src/registry/RegistrySubscription';
import RegistryTask from '../../src/registry/RegistryTask';
import type VmIdentity from '../../src/session/VmIdentity';
import VmHub from '../../src/session/VmHub';

const KEY = 'a key of the tests';

interface Control {
  /** Makes all further disk writes hang. */
  stallDisk: () => void;
  readonly name: string;
  readonly hub: VmHub;
  readonly task: RegistryTask;
}

interface Entry {
  readonly hub: VmHub;
  readonly subscription: RegistrySubscription;
}

function clock(): number {
  return performance.now();
}

/** A group of control VMs and entries for tests, each with its own loopback address. */
export default class RegistryGroup {
  readonly controls: Control[] = [];

  private readonly entries: Entry[] = [];

  private port = 0;

  /** Starts control VMs that form a new group. Their tasks start once `ready` resolves. */
  async start(
    size: number,
    requiredVoters = size,
    ready: Promise<void> = Promise.resolve(),
  ): Promise<void> {
    this.port = await reservePort();
    const names = Array.from({ length: size }, (_, index) => `127.0.0.${index + 2}`);
    const founders = names.map((name) => `${name}#00`);
    for (let index = 0; index < size; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- each binds the port at its own address
      await this.startControl(names[index] ?? '', `${names[index]}#00`, founders, requiredVoters, ready);
    }
  }

  /** Starts the only control VM of a group with the given disk contents, as after a restart. */
  async restart(disk: Pick<DurableState, 'term' | 'log'>): Promise<void> {
    this.port = await reservePort();
    await this.startControl('127.0.0.2', '127.0.0.2#00', ['127.0.0.2#00'], 1, Promise.resolve(), disk);
  }

  /** Starts a control VM with an empty disk, which joins the group. */
  async join(last: number): Promise<Control> {
    return this.startControl(`127.0.0.${last}`, `127.0.0.${last}#01`, [], 1);
  }

  /** Starts an entry at the loopback address 127.0.0.`last`. */
  async startEntry(
    last: number,
    onCrash: (fingerprint: string) => void = () => undefined,
  ): Promise<RegistrySubscription> {
    const identity = this.createIdentity(`127.0.0.${last}`, 'entry');
    const hub = await RegistryGroup.listen(identity);
    const subscription = new RegistrySubscription({
      hub,
      identity,
      clock,
      seeds: this.seeds,
      listener: {
        onChange: () => undefined,
        onContact: () => undefined,
        onRosterChange: () => undefined,
        onSourceChange: () => undefined,
        onCrash,
        onKnownCrashes: () => undefined,
        onRequestAnswered: () => undefined,
        onRequestLimits: () => undefined,
      },
    });
    subscription.start();
    this.entries.push({ hub, subscription });
    return subscription;
  }

  /** Stops a control VM without notifying the others. */
  static stop(control: Control | undefined): void {
    control?.task.close();
    control?.hub.close();
  }

  /** Stops all control VMs and entries. */
  close(): void {
    this.controls.forEach((control) => RegistryGroup.stop(control));
    this.entries.forEach(({ hub, subscription }) => {
      subscription.close();
      hub.close();
    });
  }

  private get seeds(): string[] {
    return [2, 3, 4].map((last) => `127.0.0.${last}:${this.port}`);
  }

  private createIdentity(name: string, role: 'entry' | 'control'): VmIdentity {
    return {
      name,
      region: 'munster',
      dataCentre: 'cork',
      startId: 'start',
      roles: [role],
      address: `${name}:${this.port}`,
    };
  }

  private static async listen(identity: VmIdentity): Promise<VmHub> {
    const hub = new VmHub(KEY, identity);
    const port = Number(identity.address.slice(identity.address.lastIndexOf(':') + 1));
    hub.netServer.listen(port, identity.name);
    await once(hub.netServer, 'listening');
    return hub;
  }

  private async startControl(
    name: string,
    replica: string,
    founders: readonly string[],
    requiredVoters: number,
    ready: Promise<void> = Promise.resolve(),
    disk: Partial<DurableState> = {},
  ): Promise<Control> {
    const identity = this.createIdentity(name, 'control');
    const hub = await RegistryGroup.listen(identity);
    let isStalled = false;
    const write = async (): Promise<void> => {
      if (isStalled) await new Promise(() => {});
    };
    const task = new RegistryTask({
      replica,
      durable: { ...createDurableState(founders), ...disk },
      store: { append: write, replace: write },
      hub,
      identity,
      log: createLogger({ name: 'test', streams: [] }),
      clock,
      elapsedClock: clock,
      random: Math.random,
      seeds: this.seeds,
      requiredVoters,
      dataCentres: undefined,
      timeOfDay: Date.now,
      targetTimeoutMs: 60_000,
      rollout: { share: 0.1, slack: 50 },
      onFailure: (err) => {
        throw err;
      },
    });
    ready.then(() => task.start()).catch(() => undefined);
    const control = {
      name,
      hub,
      task,
      stallDisk: () => {
        isStalled = true;
      },
    };
    this.controls.push(control);
    return control;
  }
}
