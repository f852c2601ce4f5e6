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

/** One control VM and entries in two regions, as processes. */
export default class SmallSystem {
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
   * Starts the VMs.
   *
   * @param places - data centre of each entry, as in `munster-1`
   */
  async start(places: readonly string[]): Promise<void> {
    await this.control.runCommand('init');
    await this.control.start();
    places.forEach((dataCentre, index) => this.entries.push(new VmProcess({
      name: `entry-${index + 1}`,
      region: dataCentre.split('-')[0] ?? '',
      dataCentre,
      roles: ['entry'],
      control: [this.control.address('vm')],
    })));
    await Promise.all(this.entries.map(async (entry) => entry.start()));
    await this.patch(places.map((dataCentre) => ({
      op: 'add',
      path: `/dataCentres/${dataCentre}`,
      value: { region: dataCentre.split('-')[0], state: 'in' },
    })));
  }

  /** Ends everything. */
  async remove(): Promise<void> {
    await Promise.all([this.control, ...this.entries].map(async (vm) => vm.remove()));
    this.targets.forEach(({ server }) => {
      server.close();
      server.closeAllConnections();
    });
  }

  /**
   * Changes the configuration and waits until it is in force at each entry that runs.
   *
   * @param operations - the changes
   */
  async patch(operations: PatchOperation[]): Promise<void> {
    const client = new OperatorClient(`http://${this.control.address('operator')}`, this.control.token);
    const id = randomBytes(ID_BYTES).toString('hex');
    const version = await client.submit({ id, base: this.version, operations });
    this.version = version.unwrap();
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
   * Starts a target without announcing it.
   *
   * @param id - id of the target; its service is the part before the last dash
   * @param timeToLiveMs - time to live of its announcements
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
   * @param index - position of the entry
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
   * @param index - position of the entry
   * @param announcement - the announcement
   */
  async announce(index: number, announcement: TargetAnnouncement): Promise<void> {
    await announce(this.entry(index).address('target'), announcement);
  }

  /**
   * Sends a request by way of one entry.
   *
   * @param index - position of the entry
   * @param path - path of the request
   * @param headers - headers of the request
   * @returns status of the answer
   */
  async get(
    index: number,
    path: string,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<number> {
    const answer = await request(`http://${this.entry(index).address('caller')}${path}`, { headers });
    await answer.body.dump();
    return answer.statusCode;
  }

  /**
   * Waits until an entry knows a target in some way.
   *
   * @param index - position of the entry
   * @param id - the target
   * @param matches - tells the knowledge that is waited for; it is given undefined while the
   *   entry does not know the target
   */
  async waitForTarget(
    index: number,
    id: string,
    matches: (target: KnownTarget | undefined) => boolean,
  ): Promise<void> {
    const answer = await request(`http://${this.entry(index).address('target')}/v1/targets`);
    const targets = await answer.body.json() as KnownTarget[];
    if (matches(targets.find((target) => target.id === id))) return;
    await this.waitForTarget(index, id, matches);
  }
}
