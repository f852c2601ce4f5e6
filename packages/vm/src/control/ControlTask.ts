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
import type ControlAnswer from './ControlAnswer';
import type ControlCall from './ControlCall';
import type ControlTaskOptions from './ControlTaskOptions';
import LeaseTask from './LeaseTask';
import PatchDecider from './PatchDecider';

type AnswerOf<Kind extends ControlAnswer['kind']> = Extract<ControlAnswer, { kind: Kind }>;

/** The control role: one replica, what it has applied, and the leases that it grants. */
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
      listener: {
        onCommit: (entries) => this.applyAll(entries),
        onRestore: (snapshot) => this.restore(snapshot),
        onLeader: (leader) => this.noteLeader(leader),
        createSnapshot: (): ConfigurationSnapshot => this.patches.snapshot(),
      },
    });
    this.decider = new PatchDecider(this.consensus, () => this.patches);
    this.leases = new LeaseTask({
      hub, clock, vmName, consensus: this.consensus, latest: () => this.latest,
    });
    this.router = new CallRouter({
      hub, clock, consensus: this.consensus, answer: async (call) => this.answer(call),
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

  /** Names of the VMs that vote. */
  get voterNames(): string[] {
    return this.consensus.voterNames;
  }

  /** @returns what this VM knows of the system */
  status(): { vm: string; version: number; entries: string[] } {
    const entries = this.leases.enforcement()?.entries.map((entry) => entry.name) ?? [];
    return { vm: this.options.vmName, version: this.latest.version, entries };
  }

  /** Starts to take part in the group. */
  start(): void {
    [this.consensus, this.leases, this.router]
      .forEach((handler) => this.options.hub.addHandler(handler));
    this.consensus.start();
    this.leases.start();
  }

  /** Stops taking part. */
  close(): void {
    this.consensus.close();
    this.leases.close();
  }

  /** @returns the part of this replica in the group, for operators */
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
    const answer = await this.call<'accepted'>({ kind: 'submit', patch });
    return answer.map(({ version }) => version);
  }

  /** Tells what became of a patch; see `ConfigurationService`. */
  async outcome(id: string, base: number): Promise<Result<PatchOutcome, Failure>> {
    const known = this.patches.outcome(id, base);
    if (known.outcome !== 'undecided') return Ok(known);
    const answer = await this.call<'outcome'>({ kind: 'outcome', id, base });
    return answer.map(({ outcome }) => outcome);
  }

  /** Reads the latest accepted configuration; see `ConfigurationService`. */
  async current(): Promise<Result<VersionedConfiguration, Failure>> {
    const answer = await this.call<'configuration'>({ kind: 'configuration' });
    return answer.map(({ latest }) => latest);
  }

  /** Tells what is in force; see `ConfigurationService`. */
  async enforcement(): Promise<Result<ConfigurationEnforcement, Failure>> {
    const answer = await this.call<'enforcement'>({ kind: 'enforcement' });
    return answer.map(({ enforcement }) => enforcement);
  }

  private async call<Kind extends ControlAnswer['kind']>(
    call: ControlCall,
  ): Promise<Result<AnswerOf<Kind>, Failure>> {
    const answer = await this.router.call(call);
    if (answer.kind === 'failure') return Err(answer.failure);
    return Ok(answer as AnswerOf<Kind>);
  }

  private async answer(call: ControlCall): Promise<ControlAnswer | undefined> {
    if (!this.consensus.isLeader) return undefined;
    if (call.kind === 'submit') return this.decider.decide(call.patch);
    const known = call.kind === 'outcome' ? this.patches.outcome(call.id, call.base) : undefined;
    const isKnown = known !== undefined && known.outcome !== 'undecided';
    if (!isKnown && !await this.consensus.confirm()) return undefined;
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
      if (command.kind === 'patch') this.patches.accept(command.patch);
    });
    if (this.latest.version > version) this.leases.publish();
  }

  private restore(snapshot: ConsensusSnapshot): void {
    this.patches = new AcceptedPatches(snapshot.data);
  }

  private noteLeader(leader: ReplicaId | undefined): void {
    this.options.log.info({ leader }, 'leader changed');
    this.leases.onLeader();
  }
}
