import type Logger from 'bunyan';

import createConsensusRecords from '@guavayard/core/consensus/createConsensusRecords';
import createDurableState from '@guavayard/core/consensus/createDurableState';
import type ConsensusRecord from '@guavayard/core/consensus/ConsensusRecord';
import replayRecords from '@guavayard/core/consensus/replayRecords';
import type ReplicaId from '@guavayard/core/consensus/ReplicaId';
import type Random from '@guavayard/core/types/Random';

import RegistryTask from '../../../src/registry/RegistryTask';
import type VmIdentity from '../../../src/session/VmIdentity';
import VmHub from '../../../src/session/VmHub';
import type SimulatedClock from './SimulatedClock';
import type DiskSpeed from './DiskSpeed';
import SimulatedHost from './SimulatedHost';
import type SimulatedNetwork from './SimulatedNetwork';

interface GroupSettings {
  readonly clock: SimulatedClock;
  readonly network: SimulatedNetwork;
  readonly random: Random;
  readonly seeds: readonly string[];
  readonly founders: readonly ReplicaId[];
  readonly requiredVoters: number;
  readonly disks: DiskSpeed;
  readonly log: (line: string) => void;
  readonly onMembers: (members: { index: number; voters: readonly string[] }) => void;
}

const KEY = 'the key of all VMs';
const PORT = 7540;
/** Syncs of a log that is replaced: the new file, its mark and the folder. */
const REPLACE_SYNCS = 3;
const TARGET_TIMEOUT_MS = 60_000;

/** A control VM: its disk, and its process while it runs. */
export default class SimulatedControl {
  host: SimulatedHost;

  hub: VmHub;

  task: RegistryTask;

  replica: ReplicaId;

  private disk: ConsensusRecord[];

  /** Writes that may be on the disk or not. */
  private unsynced: (() => void) | undefined;

  private wipes = 0;

  private starts = 0;

  constructor(readonly name: string, private readonly settings: GroupSettings) {
    const founder = settings.founders.find((replica) => replica === `${name}#00`);
    this.replica = founder ?? `${name}#1`;
    this.disk = createConsensusRecords(createDurableState(
      founder === undefined ? [] : settings.founders,
    ));
    [this.host, this.hub, this.task] = this.open();
  }

  static addressOf(name: string): string {
    return `${name}:${PORT}`;
  }

  get isUp(): boolean {
    return !this.host.isDown;
  }

  /** Runs an action as the present process. */
  act<Result>(action: () => Result): Result {
    return SimulatedHost.current.run(this.host, action);
  }

  /** Ends the process. A write in progress is kept or lost. */
  stop(hasPower: boolean): void {
    if (!this.isUp) return;
    this.settings.network.stop(this.host, hasPower);
    if (this.settings.random() < 0.5) this.unsynced?.();
    this.unsynced = undefined;
  }

  /** Starts the process on its disk, or with an empty one under a new identity. */
  start(isWiped: boolean): void {
    if (isWiped) {
      this.wipes += 1;
      this.replica = `${this.name}#a${this.wipes}`;
      this.disk = createConsensusRecords(createDurableState([]));
    }
    [this.host, this.hub, this.task] = this.open();
  }

  private open(): [SimulatedHost, VmHub, RegistryTask] {
    this.starts += 1;
    const { settings, name } = this;
    const { clock, network } = settings;
    const host = new SimulatedHost(name);
    const address = SimulatedControl.addressOf(name);
    const identity: VmIdentity = {
      name,
      region: 'munster',
      dataCentre: 'cork',
      startId: `${name}-${this.starts}.3`,
      roles: ['control'],
      address,
    };
    return SimulatedHost.current.run(host, () => {
      const log = this.createLog(host);
      const hub = new VmHub(KEY, identity, { transport: network.transportOf(host, address), log });
      const task = new RegistryTask({
        ...settings,
        replica: this.replica,
        durable: replayRecords(this.disk).unwrap(),
        store: {
          append: async (records) => this.write(host, settings.disks.drawSyncMs(), () => {
            this.disk.push(...records);
          }),
          replace: async (records) => this.write(host, this.drawReplaceMs(), () => {
            this.disk = [...records];
          }),
          markSynced: async () => {
            if (settings.disks.hasMarks) await this.write(host, settings.disks.drawSyncMs());
          },
        },
        hub,
        identity,
        log,
        clock: () => clock.nowMs,
        elapsedClock: () => clock.nowMs,
        dataCentres: undefined,
        timeOfDay: () => clock.nowMs,
        targetTimeoutMs: TARGET_TIMEOUT_MS,
        rollout: { share: 0.1, slack: 50 },
        onFailure: (err) => {
          throw err;
        },
      });
      task.start();
      return [host, hub, task];
    });
  }

  private drawReplaceMs(): number {
    const { disks } = this.settings;
    const syncs = disks.hasMarks ? REPLACE_SYNCS : 1;
    return Array.from({ length: syncs }, () => disks.drawSyncMs()).reduce((sum, ms) => sum + ms, 0);
  }

  private async write(
    host: SimulatedHost,
    durationMs: number,
    apply: () => void = () => undefined,
  ): Promise<void> {
    if (host.isDown) return new Promise(() => {});
    this.unsynced = apply;
    return new Promise((resolve) => {
      this.settings.clock.after(durationMs, () => {
        if (host.isDown) return;
        this.unsynced = undefined;
        apply();
        host.run(resolve);
      });
    });
  }

  private createLog(host: SimulatedHost): Logger {
    const write = (fields: object, text?: string): void => {
      if (host.isDown) return;
      if (text === 'members changed') this.settings.onMembers(fields as never);
      this.settings.log(`${Math.round(this.settings.clock.nowMs)} ${host.name} ${text ?? ''} ${JSON.stringify(fields)}`);
    };
    return { info: write, warn: write, error: write } as unknown as Logger;
  }
}
