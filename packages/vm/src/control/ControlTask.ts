import { Err, Ok, type Result } from 'ts-results';

import AcceptedPatches from '@guavayard/core/configuration/AcceptedPatches';
import type ConfigurationEnforcement from '@guavayard/core/configuration/ConfigurationEnforcement';
import type ConfigurationSnapshot from '@guavayard/core/configuration/ConfigurationSnapshot';
import type PatchOutcome from '@guavayard/core/configuration/PatchOutcome';
import type ConsensusSnapshot from '@guavayard/core/consensus/ConsensusSnapshot';
import type LogEntry from '@guavayard/core/consensus/LogEntry';
import type ReplicaId from '@guavayard/core/consensus/ReplicaId';
import type Failure from '@guavayard/core/errors/Failure';
import type ConfigurationPatch from '@guavayard/core/types/ConfigurationPatch';
import type VmStatus from '@guavayard/core/types/VmStatus';
import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

import CallRouter from './CallRouter';
import ConsensusTask from './ConsensusTask';
import type ControlCall from './ControlCall';
import type ControlResponse from './ControlResponse';
import type ControlTaskOptions from './ControlTaskOptions';
import createWriteReports from './createWriteReports';
import LeaseTask from './LeaseTask';
import PatchDecider from './PatchDecider';

type ResponseOf<Kind extends ControlResponse['kind']> = Extract<ControlResponse, { kind: Kind }>;

/** The control role: one replica, its applied state, and the leases that it grants. */
export default class ControlTask {
  private patches: AcceptedPatches;

  private readonly consensus: ConsensusTask;

  private readonly decider: PatchDecider;

  private readonly leases: LeaseTask;

  private readonly router: CallRouter;

  constructor(private readonly options: ControlTaskOptions) {
    const { hub, clock, vmName } = options;
    this.patches = new AcceptedPatches(options.durable.snapshot.data);
    this.consensus = new ConsensusTask({
      ...options,
      ...createWriteReports(options.log),
      listener: {
        onCommit: (entries) => this.applyAll(entries),
        onRestore: (snapshot) => this.restore(snapshot),
        onLeaderChange: (leader) => this.handleLeaderChange(leader),
        createSnapshot: (): ConfigurationSnapshot => this.patches.snapshot(),
      },
    });
    this.decider = new PatchDecider(this.consensus, () => this.patches);
    this.leases = new LeaseTask({
      hub, clock, vmName, consensus: this.consensus, latest: () => this.latest,
    });
    this.router = new CallRouter({
      hub, clock, consensus: this.consensus, handleCall: async (call) => this.handleCall(call),
    });
  }

  /** The latest configuration that is committed and applied on this VM. */
  get latest(): VersionedConfiguration {
    return this.patches.latest;
  }

  /** Name of the leader's VM, undefined if none is known. */
  get leaderName(): string | undefined {
    return this.consensus.leaderName;
  }

  /** Names of the voting VMs. */
  get voterNames(): string[] {
    return this.consensus.voterNames;
  }

  /** @returns the configuration version and the entries known to this VM */
  status(): { vm: string; version: number; entries: string[] } {
    const entries = this.leases.enforcement()?.entries.map((entry) => entry.name) ?? [];
    return { vm: this.options.vmName, version: this.latest.version, entries };
  }

  /** Starts taking part in the consensus group and granting leases. */
  start(): void {
    [this.consensus, this.leases, this.router]
      .forEach((handler) => this.options.hub.addHandler(handler));
    this.consensus.start();
    this.leases.start();
  }

  /** Stops taking part in the consensus group and granting leases. */
  close(): void {
    this.consensus.close();
    this.leases.close();
  }

  /** @returns the role, term and known voters of this replica, for operators */
  replicaStatus(): VmStatus['control'] {
    const {
      isLeader, term, leaderName, voterNames,
    } = this.consensus;
    return {
      state: isLeader ? 'leader' : 'follower', term, leader: leaderName, voters: voterNames,
    };
  }

  /** Submits a patch; see `ConfigurationService`. */
  async submit(patch: ConfigurationPatch): Promise<Result<number, Failure>> {
    const response = await this.call<'accepted'>({ kind: 'submit', patch });
    return response.map(({ version }) => version);
  }

  /** Returns the outcome of a patch; see `ConfigurationService`. */
  async outcome(id: string, base: number): Promise<Result<PatchOutcome, Failure>> {
    const known = this.patches.outcome(id, base);
    if (known.outcome !== 'undecided') return Ok(known);
    const response = await this.call<'outcome'>({ kind: 'outcome', id, base });
    return response.map(({ outcome }) => outcome);
  }

  /** Reads the latest accepted configuration; see `ConfigurationService`. */
  async readConfiguration(): Promise<Result<VersionedConfiguration, Failure>> {
    const response = await this.call<'configuration'>({ kind: 'configuration' });
    return response.map(({ latest }) => latest);
  }

  /** Returns which versions are in force; see `ConfigurationService`. */
  async enforcement(): Promise<Result<ConfigurationEnforcement, Failure>> {
    const response = await this.call<'enforcement'>({ kind: 'enforcement' });
    return response.map(({ enforcement }) => enforcement);
  }

  private async call<Kind extends ControlResponse['kind']>(
    call: ControlCall,
  ): Promise<Result<ResponseOf<Kind>, Failure>> {
    const response = await this.router.call(call);
    if (response.kind === 'failure') return Err(response.failure);
    return Ok(response as ResponseOf<Kind>);
  }

  private async handleCall(call: ControlCall): Promise<ControlResponse | undefined> {
    if (!this.consensus.isLeader) return undefined;
    if (call.kind === 'submit') return this.decider.decide(call.patch);
    const known = call.kind === 'outcome' ? this.patches.outcome(call.id, call.base) : undefined;
    const isKnown = known !== undefined && known.outcome !== 'undecided';
    if (!isKnown && !await this.consensus.awaitReadPoint()) return undefined;
    if (call.kind === 'outcome') {
      return { kind: 'outcome', outcome: this.patches.outcome(call.id, call.base) };
    }
    if (call.kind === 'configuration') return { kind: 'configuration', latest: this.latest };
    const enforcement = this.leases.enforcement();
    return enforcement === undefined ? undefined : { kind: 'enforcement', enforcement };
  }

  private applyAll(entries: readonly LogEntry[]): void {
    const { version } = this.latest;
    entries.forEach(({ command }) => {
      if (command.kind === 'patch') this.patches.applyCommitted(command.patch);
    });
    if (this.latest.version > version) this.leases.publish();
  }

  private restore(snapshot: ConsensusSnapshot): void {
    this.patches = new AcceptedPatches(snapshot.data);
  }

  private handleLeaderChange(leader: ReplicaId | undefined): void {
    this.options.log.info({ leader }, 'leader changed');
    this.leases.onLeader();
  }
}
