import type { Result } from 'ts-results';

import type LogEntry from '@guavayard/core/consensus/LogEntry';
import type Failure from '@guavayard/core/errors/Failure';
import type Declaration from '@guavayard/core/registry/Declaration';
import type RegisteredTarget from '@guavayard/core/registry/RegisteredTarget';
import type RegistryService from '@guavayard/core/registry/RegistryService';
import type RolloutOrder from '@guavayard/core/rollouts/RolloutOrder';

import CallRouter from '../control/CallRouter';
import ConsensusTask from '../control/ConsensusTask';
import GroupWatch from '../control/GroupWatch';
import repeatAfterInput from '../control/repeatAfterInput';
import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmSession from '../session/VmSession';
import createWriteReports from '../control/createWriteReports';
import createRollouts from '../rollouts/createRollouts';
import type RolloutTask from '../rollouts/RolloutTask';
import RolloutTimes from '../rollouts/RolloutTimes';
import CurrencyTask from './CurrencyTask';
import DeclarationGate from './DeclarationGate';
import LeaderCalls from './LeaderCalls';
import LeaderClient from './LeaderClient';
import MemberConnections from './MemberConnections';
import OperatorCalls from './OperatorCalls';
import OrderSubmitter from './OrderSubmitter';
import PresenceReporter from './PresenceReporter';
import RegistryPublisher from './RegistryPublisher';
import RegistryStore from './RegistryStore';
import type RegistryTaskOptions from './RegistryTaskOptions';
import TargetRegistration from './TargetRegistration';

/**
 * Time without a message from the leader after which a replica is no longer current, in
 * milliseconds.
 */
const LEADER_TIMEOUT_MS = 700;
const PULSE_INTERVAL_MS = 250;
/** Longest time for one call. Clients time out after a second and retry on another VM. */
const CALL_TIMEOUT_MS = 900;
/** Longest wait for the response of one leader, which leaves time to retry on the next one. */
const FORWARD_TIMEOUT_MS = 400;

/**
 * The control role of a system that is configured by declarations: one replica of the registry.
 * Every change is acknowledged once a quorum has synced it.
 */
export default class RegistryTask implements SessionHandler, RegistryService {
  private readonly store: RegistryStore;

  private readonly consensus: ConsensusTask;

  private readonly watch: GroupWatch;

  private readonly router: CallRouter;

  private readonly publisher: RegistryPublisher;

  private readonly currency: CurrencyTask;

  private readonly presence: PresenceReporter;

  private readonly connections: MemberConnections;

  private readonly declarations = new DeclarationGate();

  private readonly submitter: OrderSubmitter;

  private readonly operators: OperatorCalls;

  private readonly registration: TargetRegistration;

  private readonly rollouts: RolloutTask;

  private timers: NodeJS.Timeout[] = [];

  constructor(private readonly options: RegistryTaskOptions) {
    const { clock, durable, hub } = options;
    const { snapshot } = durable;
    this.store = new RegistryStore(
      clock,
      snapshot.data.registry,
      snapshot.lastIndex,
      new RolloutTimes(clock, options.timeOfDay),
      options.createEntrySource,
    );
    this.consensus = new ConsensusTask({
      ...options,
      onMalformedCommand: (reason) => options.log.error({ err: reason }, 'command refused'),
      ...createWriteReports(options.log),
      listener: {
        onCommit: (entries) => this.applyAll(entries),
        onRestore: ({ data, lastIndex }) => {
          this.store.restore(data.registry, lastIndex);
          this.endDeclarations();
          this.publisher.schedule();
          this.currency.handleApplied();
        },
        onCaughtUp: () => this.publisher.sendPulses(),
        onLeaderChange: (leader) => {
          options.log.info({ leader, term: this.consensus.term }, 'leader changed');
          this.presence.reset();
          this.publisher.sendPulses();
        },
        createSnapshot: () => this.store.createSnapshot(),
      },
    });
    this.connections = new MemberConnections({ ...options, consensus: this.consensus });
    this.watch = new GroupWatch({
      ...options, consensus: this.consensus, reopen: (name) => this.connections.reopen(name),
    });
    const { consensus, store } = this;
    this.publisher = new RegistryPublisher(
      store,
      () => this.isCurrent,
      (...message) => hub.sendToControl(...message),
      clock,
    );
    this.currency = new CurrencyTask({
      hub,
      consensus: this.consensus,
      appliedIndex: () => this.store.appliedIndex,
      flush: () => this.publisher.flush(),
      isSameDeclaration: async () => {
        const source = await this.readDeclaration();
        return source.ok && source.val === this.store.state.declaration?.source;
      },
    });
    const { publisher } = this;
    this.presence = new PresenceReporter({
      ...options, consensus, store, publisher,
    });
    const { gate, task, orders } = createRollouts(options, {
      consensus, store, entries: () => publisher.knownEntries,
    });
    const shared = {
      ...options, consensus, store, gate, declarations: this.declarations,
    };
    this.rollouts = task;
    const calls = new LeaderCalls({
      ...shared, rollouts: orders, isInContact: () => this.isInContact,
    });
    this.router = new CallRouter({
      hub,
      clock,
      consensus: this.consensus,
      handleCall: async (call) => calls.handle(call),
      callTimeoutMs: CALL_TIMEOUT_MS,
      forwardTimeoutMs: FORWARD_TIMEOUT_MS,
    });
    const leader = new LeaderClient(this.router, CALL_TIMEOUT_MS);
    this.submitter = new OrderSubmitter({
      clock,
      elapsedClock: options.elapsedClock,
      lastLogIndex: () => this.consensus.lastLogIndex,
      submit: async (change, basis) => leader.submit(change, basis),
    });
    const { submitter, presence } = this;
    this.operators = new OperatorCalls({ ...shared, leader, submitter });
    this.registration = new TargetRegistration({
      ...shared, presence, leader, submitter, isCurrent: () => this.isCurrent,
    });
  }

  /**
   * Whether the applied state is recent: this replica is in contact with the leader and has applied
   * what was committed before it started.
   */
  get isCurrent(): boolean {
    return this.consensus.hasCaughtUp && this.isInContact;
  }

  /** Whether this replica leads or has recently received a message from the leader. */
  private get isInContact(): boolean {
    if (this.consensus.isStalled) return false;
    return this.consensus.isLeader || this.consensus.timeSinceLeaderContactMs < LEADER_TIMEOUT_MS;
  }

  /** Whether this replica considers itself the leader. */
  get isLeader(): boolean {
    return this.consensus.isLeader;
  }

  /** Version of the declaration applied on this replica, 0 if there is none. */
  get version(): number {
    return this.store.state.declaration?.version ?? 0;
  }

  /** The declaration applied on this replica, undefined if there is none. */
  get declaration(): Declaration | undefined {
    return this.store.state.declaration;
  }

  /** Number of registered targets. */
  get targetCount(): number {
    return Object.keys(this.store.state.targets).length;
  }

  /** Number of versions that are being brought in. */
  get rolloutCount(): number {
    return this.rollouts.underWayCount;
  }

  /** Time since this replica last led or heard the leader, in milliseconds. */
  get leaderSilenceMs(): number {
    return this.watch.leaderSilenceMs;
  }

  /** Time for which the write to the disk in progress has been running or refused, in ms, or 0. */
  get pendingWriteMs(): number {
    return this.consensus.pendingWriteMs;
  }

  /** Number of members that do not respond to this replica; 0 unless it leads. */
  get silentMemberCount(): number {
    return this.watch.silentMemberCount;
  }

  /** Starts taking part in the consensus group. */
  start(): void {
    const { hub } = this.options;
    [this.consensus, this.router, this.publisher, this.rollouts, this.currency, this]
      .forEach((handler) => hub.addHandler(handler));
    this.consensus.start();
    this.submitter.tick();
    this.connections.update();
    this.timers = [
      setInterval(() => this.submitter.tick(), PULSE_INTERVAL_MS),
      repeatAfterInput(() => {
        this.watch.tick();
        this.publisher.sendPulses();
      }, PULSE_INTERVAL_MS),
      this.presence.start(() => this.connections.update()),
      this.rollouts.start(),
    ];
  }

  /** Asks the group to do without this replica, before its process ends. */
  async leave(): Promise<void> {
    await this.consensus.leave();
  }

  /** Stops taking part in the consensus group. */
  close(): void {
    this.consensus.close();
    this.timers.forEach((timer) => clearInterval(timer));
  }

  onOpen(_session: VmSession, peer: NonNullable<VmSession['peer']>): void {
    if (peer.roles.includes('control')) this.presence.recordControl(peer);
  }

  onMessage(_session: VmSession, message: VmMessage): void {
    if (message.kind === 'presence') this.presence.recordContact(message);
    if (message.kind === 'roster') this.publisher.setRoster(message);
    if (message.kind === 'targetLeaving') {
      this.registration.drain(message.targetId, message.bornAtMs);
    }
  }

  onClose(): void {}

  async declare(declaration: Declaration): Promise<Result<undefined, Failure>> {
    return this.operators.declare(declaration);
  }

  async readDeclaration(): Promise<Result<string | undefined, Failure>> {
    return this.operators.readDeclaration();
  }

  async evacuate(
    dataCentre: string,
    isOut: boolean,
    isAbandoned: () => boolean = () => false,
  ): Promise<Result<undefined, Failure>> {
    return this.operators.evacuate(dataCentre, isOut, isAbandoned);
  }

  async announce(target: RegisteredTarget): Promise<Result<undefined, Failure>> {
    return this.registration.announce(target);
  }

  async withdraw(
    targetId: string,
    isAbandoned: () => boolean = () => false,
  ): Promise<Result<undefined, Failure>> {
    return this.registration.withdraw(targetId, isAbandoned);
  }

  async startRollout(order: RolloutOrder): Promise<Result<undefined, Failure>> {
    return this.operators.startRollout(order);
  }

  async readRollout(service: string): ReturnType<RegistryService['readRollout']> {
    return this.operators.readRollout(service);
  }

  findNearestControl(dataCentre: string, region: string): string | undefined {
    return this.presence.findNearestControl(dataCentre, region);
  }

  /** Ends the calls for versions that are in force or superseded. */
  private endDeclarations(): void {
    const { declaration } = this.store.state;
    if (declaration !== undefined) this.declarations.handleApplied(declaration.version);
  }

  private applyAll(entries: readonly LogEntry[]): void {
    const { term: currentTerm } = this.consensus;
    entries.forEach(({ index, term, command }) => {
      if (command.kind === 'members') this.options.log.info({ index, ...command.members }, 'members changed');
      const isLive = term === currentTerm && this.consensus.hasCaughtUp;
      if (command.kind === 'registry') this.store.apply(index, command.change, term === currentTerm, isLive);
      else this.store.advance(index);
    });
    this.endDeclarations();
    this.publisher.schedule();
    this.currency.handleApplied();
  }
}
