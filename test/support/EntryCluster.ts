import { randomBytes } from 'node:crypto';

import { request } from 'undici';

import announce from '@guavayard/emulator/announce';
import EmulatedTarget from '@guavayard/emulator/EmulatedTarget';
import type KnownTarget from '@guavayard/core/types/KnownTarget';
import type PatchOperation from '@guavayard/core/types/PatchOperation';
import type TargetAnnouncement from '@guavayard/core/types/TargetAnnouncement';
import OperatorClient from '@guavayard/operator/OperatorClient';

import VmProcess from './VmProcess';

const ID_BYTES = 4;

/** One control VM and several entries, each a process of the built binary. */
export default class EntryCluster {
  readonly control = new VmProcess({
    name: 'control-1',
    region: 'munster',
    dataCentre: 'munster-1',
    roles: ['control'],
    control: ['127.0.0.1:1'],
  });

  readonly entries: VmProcess[] = [];

  private readonly targets: EmulatedTarget[] = [];

  private version = 0;

  /**
   * Starts the VMs and adds the data centres of the entries to the configuration.
   *
   * @param dataCentres - data centre of each entry, such as `munster-1`; its region is the part
   *   before the dash
   */
  async start(dataCentres: readonly string[]): Promise<void> {
    await this.control.runCommand('init');
    await this.control.start();
    dataCentres.forEach((dataCentre, index) => this.entries.push(new VmProcess({
      name: `entry-${index + 1}`,
      region: dataCentre.split('-')[0] ?? '',
      dataCentre,
      roles: ['entry'],
      control: [this.control.address('vm')],
    })));
    await Promise.all(this.entries.map(async (entry) => entry.start()));
    await this.patch(dataCentres.map((dataCentre) => ({
      op: 'add',
      path: `/dataCentres/${dataCentre}`,
      value: { region: dataCentre.split('-')[0], state: 'in' },
    })));
  }

  /** Kills the VMs, removes their folders and closes the targets. */
  async remove(): Promise<void> {
    await Promise.all([this.control, ...this.entries].map(async (vm) => vm.remove()));
    this.targets.forEach(({ server }) => {
      server.close();
      server.closeAllConnections();
    });
  }

  /**
   * Changes the configuration and waits until it is in force on every entry.
   *
   * @param operations - operations of the patch
   */
  async patch(operations: PatchOperation[]): Promise<void> {
    await this.submit(operations);
    await this.awaitVersion();
  }

  /** Changes the configuration without waiting for entries. */
  async submit(operations: PatchOperation[]): Promise<void> {
    const client = new OperatorClient(`http://${this.control.address('operator')}`, this.control.token);
    const id = randomBytes(ID_BYTES).toString('hex');
    const version = await client.submit({ id, base: this.version, operations });
    this.version = version.unwrap();
  }

  /** Waits until the newest configuration is in force on every entry. */
  async awaitVersion(): Promise<void> {
    await Promise.all(this.entries.map(async (entry) => entry.waitForLine((line) => (
      line.msg === 'configuration in force' && line.version === this.version
    ))));
  }

  /**
   * Adds a service whose route is `/NAME`.
   *
   * @param name - name of the service
   */
  async addService(name: string): Promise<void> {
    await this.patch([
      { op: 'add', path: `/services/${name}`, value: {} },
      { op: 'add', path: `/routes/${name}`, value: { pathPrefix: `/${name}`, service: name } },
    ]);
  }

  /**
   * Starts a target but does not announce it.
   *
   * @param id - id of the target; its service is the part before the last dash
   * @param timeToLiveMs - time to live of its announcements, in milliseconds
   * @returns the target and its announcement
   */
  async startTarget(
    id: string,
    timeToLiveMs = 60_000,
  ): Promise<{ target: EmulatedTarget; announcement: TargetAnnouncement }> {
    const target = new EmulatedTarget(id);
    this.targets.push(target);
    const announcement: TargetAnnouncement = {
      id,
      service: id.slice(0, id.lastIndexOf('-')),
      dataCentre: 'munster-1',
      address: await target.listen(),
      slots: 2,
      connectionLimit: 260,
      startId: randomBytes(ID_BYTES).toString('hex'),
      state: 'ready',
      timeToLiveMs,
    };
    return { target, announcement };
  }

  /**
   * @param index - index of the entry
   * @returns the entry
   */
  entry(index: number): VmProcess {
    const entry = this.entries[index];
    if (entry === undefined) throw new Error(`no entry ${index}`);
    return entry;
  }

  /**
   * Announces a target to one entry.
   *
   * @param index - index of the entry
   * @param announcement - the announcement
   */
  async announce(index: number, announcement: TargetAnnouncement): Promise<void> {
    await announce(this.entry(index).address('target'), announcement);
  }

  /**
   * Sends a GET request through one entry.
   *
   * @param index - index of the entry
   * @param path - path of the request
   * @param headers - headers of the request
   * @returns the status code of the response
   */
  async get(
    index: number,
    path: string,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<number> {
    const response = await request(`http://${this.entry(index).address('caller')}${path}`, { headers });
    await response.body.dump();
    return response.statusCode;
  }

  /**
   * Waits until the state of a target, as an entry knows it, matches a condition.
   *
   * @param index - index of the entry
   * @param id - id of the target
   * @param matches - returns whether the state matches; receives undefined while the entry does not
   *   know the target
   */
  async waitForTarget(
    index: number,
    id: string,
    matches: (target: KnownTarget | undefined) => boolean,
  ): Promise<void> {
    const response = await request(`http://${this.entry(index).address('target')}/v1/targets`);
    const targets = await response.body.json() as KnownTarget[];
    if (matches(targets.find((target) => target.id === id))) return;
    await this.waitForTarget(index, id, matches);
  }
}
