import { Err, Ok, type Result } from 'ts-results';

import createConfigurationSnapshot from '@guavayard/core/configuration/createConfigurationSnapshot';
import type ConfigurationSnapshot from '@guavayard/core/configuration/ConfigurationSnapshot';
import type LogEntry from '@guavayard/core/consensus/LogEntry';
import type Failure from '@guavayard/core/errors/Failure';
import fail from '@guavayard/core/errors/fail';
import type Declaration from '@guavayard/core/registry/Declaration';
import findAnnouncementMistake from '@guavayard/core/registry/findAnnouncementMistake';
import findDeclarationMistakes from '@guavayard/core/registry/findDeclarationMistakes';
import findTarget from '@guavayard/core/registry/findTarget';
import isRedundantAnnouncement from '@guavayard/core/registry/isRedundantAnnouncement';
import isStaleAnnouncement from '@guavayard/core/registry/isStaleAnnouncement';
import type RegisteredTarget from '@guavayard/core/registry/RegisteredTarget';
import RegistryChange from '@guavayard/core/registry/RegistryChange';
import type RegistryService from '@guavayard/core/registry/RegistryService';

import CallRouter from '../control/CallRouter';
import ConsensusTask from '../control/ConsensusTask';
import type ControlCall from '../control/ControlCall';
import type ControlResponse from '../control/ControlResponse';
import GroupWatch from '../control/GroupWatch';
import repeatAfterInput from '../control/repeatAfterInput';
import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmSession from '../session/VmSession';
import createWriteReports from '../control/createWriteReports';
import createVmLocation from './createVmLocation';
import CurrencyTask from './CurrencyTask';
import DeclarationGate from './DeclarationGate';
import OrderGate from './OrderGate';
import OrderSubmitter from './OrderSubmitter';
import PresenceTable from './PresenceTable';
import RegistryPublisher from './RegistryPublisher';
import RegistryStore from './RegistryStore';
import type RegistryTaskOptions from './RegistryTaskOptions';
import type VmLocation from './VmLocation';

/**
 * Time without a message from the leader after which a replica is no longer current, in
 * milliseconds.
 */
const LEADER_TIMEOUT_MS = 700;
const PULSE_INTERVAL_MS = 250;
const PRESENCE_INTERVAL_MS = 1000;
/**
 * Time after which a new leader that knew no roster has heard of all entries, in milliseconds: they
 * subscribe within one interval, and the control VMs report it within another.
 */
const ROSTER_DELAY_MS = 2 * PRESENCE_INTERVAL_MS;
/** Number of presence intervals after which an unchanged roster is sent again. */
const ROSTER_RESEND_INTERVALS = 10;
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

  private readonly presence: PresenceTable;

  private readonly orders: OrderGate;

  private readonly declarations = new DeclarationGate();

  private readonly submitter: OrderSubmitter;

  /** Targets that announced themselves to this VM since its last presence report to the leader. */
  private readonly announcedIds = new Set<string>();

  private readonly controlLocations = new Map<string, VmLocation>();

  private readonly connectedAddresses = new Set<string>();

  /** Members that this VM connects to whatever the order of names, as nothing was heard of them. */
  private readonly dialledNames = new Set<string>();

  private timers: NodeJS.Timeout[] = [];

  private lastRoster = '';

  /** When this VM may publish a roster as the leader. */
  private rosterDueAtMs = 0;

  private unsentRosterIntervals = 0;

  constructor(private readonly options: RegistryTaskOptions) {
    const { clock, durable, hub } = options;
    const { snapshot } = durable;
    this.store = new RegistryStore(
      clock,
      snapshot.data.registry,
      snapshot.lastIndex,
      options.createEntrySource,
    );
    this.presence = new PresenceTable(clock, options.targetTimeoutMs);
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
          this.presence.reset(this.publisher.knownEntries ?? []);
          this.rosterDueAtMs = this.publisher.knownEntries === undefined
            ? clock() + ROSTER_DELAY_MS : 0;
          this.publisher.sendPulses();
        },
        createSnapshot: (): ConfigurationSnapshot => ({
          ...createConfigurationSnapshot(), registry: structuredClone(this.store.state),
        }),
      },
    });
    this.watch = new GroupWatch({
      ...options, consensus: this.consensus, reopen: (name) => this.reopen(name),
    });
    this.publisher = new RegistryPublisher(
      this.store,
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
    this.router = new CallRouter({
      hub,
      clock,
      consensus: this.consensus,
      handleCall: async (call) => this.handleCall(call),
      callTimeoutMs: CALL_TIMEOUT_MS,
      forwardTimeoutMs: FORWARD_TIMEOUT_MS,
    });
    this.orders = new OrderGate(this.store);
    this.submitter = new OrderSubmitter({
      clock,
      elapsedClock: options.elapsedClock,
      lastLogIndex: () => this.consensus.lastLogIndex,
      submit: async (change, basis) => this.submitChange(change, basis),
    });
    this.controlLocations.set(options.identity.name, createVmLocation(options.identity));
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
    [this.consensus, this.router, this.publisher, this.currency, this]
      .forEach((handler) => hub.addHandler(handler));
    this.consensus.start();
    this.submitter.tick();
    this.updateConnections();
    this.timers = [
      setInterval(() => this.submitter.tick(), PULSE_INTERVAL_MS),
      repeatAfterInput(() => {
        this.watch.tick();
        this.publisher.sendPulses();
      }, PULSE_INTERVAL_MS),
      setInterval(() => this.reportPresence(), PRESENCE_INTERVAL_MS),
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
    if (!peer.roles.includes('control')) return;
    this.controlLocations.set(peer.name, createVmLocation(peer));
    // A process that has just started knows no roster.
    this.lastRoster = '';
  }

  onMessage(_session: VmSession, message: VmMessage): void {
    if (message.kind === 'presence') this.presence.recordContact(message.targetIds, message.entries);
    if (message.kind === 'roster') this.publisher.setRoster(message);
    if (message.kind === 'targetLeaving') this.drain(message.targetId, message.bornAtMs);
  }

  onClose(): void {}

  /**
   * Puts a declaration in force, unless its version or a higher one already is.
   *
   * @param declaration - the declaration to apply
   * @returns nothing once a quorum has synced it, `invalidPatch` with the errors found, or
   *   `noQuorum`
   */
  async declare(declaration: Declaration): Promise<Result<undefined, Failure>> {
    const errors = findDeclarationMistakes(declaration);
    if (errors.length > 0) return fail('invalidPatch', errors.join('; '));
    const { version } = declaration;
    // Applied versions are committed, so this version is in force already or superseded for good.
    if (this.hasApplied(version)) return Ok(undefined);
    const call = this.submitChange({ kind: 'declare', declaration });
    const accepted = await this.declarations.awaitApplied(version, call) ?? Ok(undefined);
    const outcome = accepted.ok ? 'accepted' : accepted.val.kind;
    this.options.log.info({ version, outcome, leader: this.consensus.leaderName }, 'declaration');
    return accepted;
  }

  /** @returns the source of the newest declaration, undefined if there is none, or `noQuorum` */
  async readDeclaration(): Promise<Result<string | undefined, Failure>> {
    const response = await this.call({ kind: 'declaration' });
    if (response.err) return response;
    return Ok(response.val.kind === 'declaration' ? response.val.source : undefined);
  }

  /**
   * Evacuates a data centre or restores it.
   *
   * @param dataCentre - name of the data centre
   * @param isOut - true to evacuate it, so that its targets get no new work; false to restore it
   * @param isAbandoned - returns whether the caller has gone
   * @returns nothing once a quorum has synced the change, `overtaken`, or `noQuorum`
   */
  async evacuate(
    dataCentre: string,
    isOut: boolean,
    isAbandoned: () => boolean = () => false,
  ): Promise<Result<undefined, Failure>> {
    const kind = isOut ? 'evacuate' : 'restore';
    const accepted = await this.submitter.submit({ kind, dataCentre }, isAbandoned);
    const outcome = accepted.ok ? 'accepted' : accepted.val.kind;
    this.options.log.info({ dataCentre, isOut, outcome }, 'evacuation');
    return accepted;
  }

  /**
   * Registers a target or updates its registration.
   *
   * @param target - the announcement of the target
   * @returns nothing once every entry that follows control will receive it, `noQuorum`,
   *   `invalidAnnouncement` if no target can have sent it, or `staleAnnouncement` without effect
   */
  async announce(target: RegisteredTarget): Promise<Result<undefined, Failure>> {
    if (!this.isCurrent) return fail('noQuorum', 'this VM does not hear the leader');
    const { dataCentres, timeOfDay } = this.options;
    const mistake = findAnnouncementMistake(target, { dataCentres, nowMs: timeOfDay() });
    if (mistake !== undefined) return fail('invalidAnnouncement', mistake);
    const { state } = this.store;
    const isRedundant = isRedundantAnnouncement(state, target, this.store.coldLeftMs(target.id));
    if (isRedundant) this.announcedIds.add(target.id);
    if (isRedundant) return Ok(undefined);
    if (isStaleAnnouncement(state, target)) return fail('staleAnnouncement');
    const { id, state: announced, coldLeftMs } = target;
    const accepted = await this.submitChange({ kind: 'announce', target });
    this.announcedIds.add(id);
    const outcome = accepted.ok ? 'accepted' : accepted.val.kind;
    this.options.log.info({
      target: id, service: target.service, state: announced, coldLeftMs, outcome,
    }, 'target announced');
    return accepted;
  }

  /**
   * Removes a target from the registry at its own request.
   *
   * @param targetId - id of the target
   * @param isAbandoned - returns whether the caller has gone
   * @returns nothing once every entry that follows control will receive it, `overtaken`, or
   *   `noQuorum`
   */
  async withdraw(
    targetId: string,
    isAbandoned: () => boolean = () => false,
  ): Promise<Result<undefined, Failure>> {
    const accepted = await this.submitter.submit({ kind: 'withdraw', targetId }, isAbandoned);
    const outcome = accepted.ok ? 'accepted' : accepted.val.kind;
    this.options.log.info({ target: targetId, outcome }, 'target withdrawn');
    return accepted;
  }

  findNearestControl(dataCentre: string, region: string): string | undefined {
    const voters = new Set(this.consensus.voterNames);
    const locations = [...this.controlLocations.values()].filter(({ name }) => voters.has(name));
    const nearest = locations.find((location) => location.dataCentre === dataCentre)
      ?? locations.find((location) => location.region === region);
    return nearest?.name;
  }

  private hasApplied(version: number): boolean {
    return (this.store.state.declaration?.version ?? -1) >= version;
  }

  /** Ends the calls for versions that are in force or superseded. */
  private endDeclarations(): void {
    const { declaration } = this.store.state;
    if (declaration !== undefined) this.declarations.handleApplied(declaration.version);
  }

  private async submitChange(
    change: RegistryChange,
    basis?: number,
  ): Promise<Result<undefined, Failure>> {
    const parsed = RegistryChange.safeParse(change);
    // A record that no replica can read back would stop all of them.
    if (!parsed.success) return fail('invalidPatch', parsed.error.message);
    const response = await this.call({
      kind: 'change', change: parsed.data, ...(basis === undefined ? {} : { basis }),
    });
    return response.map(() => undefined);
  }

  private async call(call: ControlCall): Promise<Result<ControlResponse, Failure>> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<ControlResponse>((resolve) => {
      timer = setTimeout(() => resolve({
        kind: 'failure', failure: { kind: 'noQuorum', detail: 'no answer in time' },
      }), CALL_TIMEOUT_MS);
    });
    const response = await Promise.race([this.router.call(call), timeout]);
    clearTimeout(timer);
    return response.kind === 'failure' ? Err(response.failure) : Ok(response);
  }

  private async handleCall(call: ControlCall): Promise<ControlResponse | undefined> {
    if (!this.consensus.isLeader || !this.isInContact) return undefined;
    if (call.kind === 'declaration') {
      if (!await this.consensus.awaitReadPoint()) return undefined;
      return { kind: 'declaration', source: this.store.state.declaration?.source };
    }
    if (call.kind !== 'change') return undefined;
    const hasRequiredVoters = this.store.state.declaration !== undefined
      || this.consensus.confirmedVoterCount >= this.options.requiredVoters;
    // Before all voters hold the log, an accepted change would survive fewer losses than promised.
    if (!hasRequiredVoters) return undefined;
    const { change, basis } = call;
    const propose = async (): Promise<boolean> => this.consensus.propose({ kind: 'registry', change });
    if (change.kind === 'declare') {
      const { version } = change.declaration;
      const isCommitted = this.hasApplied(version)
        || await this.declarations.propose(version, propose);
      return isCommitted ? { kind: 'changed' } : undefined;
    }
    if (basis === undefined) return await propose() ? { kind: 'changed' } : undefined;
    // Until then entries of earlier terms may be missing that the change would undo.
    if (!this.consensus.hasCommittedInTerm) return undefined;
    const outcome = await this.orders.run(change, basis, propose);
    if (outcome === 'overtaken') return { kind: 'failure', failure: { kind: 'overtaken', detail: '' } };
    return outcome === 'committed' ? { kind: 'changed' } : undefined;
  }

  private applyAll(entries: readonly LogEntry[]): void {
    const { term: currentTerm } = this.consensus;
    entries.forEach(({ index, term, command }) => {
      if (command.kind === 'members') this.options.log.info({ index, ...command.members }, 'members changed');
      if (command.kind === 'registry') this.store.apply(index, command.change, term === currentTerm);
      else this.store.advance(index);
    });
    this.endDeclarations();
    this.publisher.schedule();
    this.currency.handleApplied();
  }

  private reportPresence(): void {
    const targetIds = [...this.announcedIds];
    const { entries } = this.publisher;
    this.announcedIds.clear();
    this.updateConnections();
    if (!this.consensus.isLeader) {
      const { leaderName } = this.consensus;
      if (leaderName === undefined) return;
      this.options.hub.send(leaderName, { kind: 'presence', targetIds, entries });
      return;
    }
    this.presence.recordContact(targetIds, entries);
    this.expireSilentTargets();
    this.publishRoster();
  }

  /** Registers a target as draining that says so to entries, as it may not reach control itself. */
  private drain(targetId: string, bornAtMs: number): void {
    const known = findTarget(this.store.state, targetId);
    if (known?.bornAtMs !== bornAtMs || known.state !== 'ready') return;
    const { log } = this.options;
    this.submitChange({ kind: 'announce', target: { ...known, state: 'draining' } }).then((result) => {
      log.info({ target: targetId, outcome: result.ok ? 'accepted' : result.val.kind }, 'target drained on report of an entry');
    }, (err: Error) => log.error({ err }, 'failed to drain target'));
  }

  private expireSilentTargets(): void {
    this.presence.findExpiredTargets(this.store.state).forEach((targetId) => {
      const known = this.store.state.targets[targetId];
      if (known === undefined) return;
      const { bornAtMs, sequence } = known;
      this.options.log.info({ target: targetId }, 'target timed out');
      this.consensus.propose({
        kind: 'registry',
        change: {
          kind: 'expire', targetId, bornAtMs, sequence,
        },
      }).catch((err: Error) => this.options.log.error({ err }, 'failed to expire target'));
    });
  }

  private publishRoster(): void {
    if (this.options.clock() < this.rosterDueAtMs) return;
    const voters = new Set(this.consensus.voterNames);
    const controls = [...this.controlLocations.values()]
      .filter(({ name }) => voters.has(name))
      .sort((a, b) => (a.name < b.name ? -1 : 1));
    const roster = { controls, entries: this.presence.entries };
    this.publisher.setRoster(roster);
    // Traffic between regions is paid by volume, so an unchanged roster is sent only occasionally.
    const text = JSON.stringify(roster);
    this.unsentRosterIntervals += 1;
    if (text === this.lastRoster && this.unsentRosterIntervals < ROSTER_RESEND_INTERVALS) return;
    this.lastRoster = text;
    this.unsentRosterIntervals = 0;
    this.options.hub.sendToControl({ kind: 'roster', ...roster });
  }

  /** Opens a new session with a control VM. */
  private reopen(name: string): void {
    const address = this.addressOf(name);
    this.dialledNames.add(name);
    this.connectedAddresses.add(address);
    this.options.hub.reopen(address);
  }

  /** Derives the address of a VM of such a system from its name, which is its IP address. */
  private addressOf(name: string): string {
    const { address } = this.options.identity;
    return `${name}${address.slice(address.lastIndexOf(':'))}`;
  }

  /**
   * Connects to the members of the group, and disconnects from VMs that are no longer members.
   */
  private updateConnections(): void {
    const { hub, identity, seeds } = this.options;
    const {
      voterNames, learnerNames, isLeader, isJoinDue,
    } = this.consensus;
    const members = [...voterNames, ...learnerNames];
    // The others may not know this VM as a member, so they need not connect to it.
    if (isJoinDue) members.forEach((name) => this.dialledNames.add(name));
    const wanted = new Set(members
      // Of each pair, the member whose name sorts first connects. The leader connects to all, as
      // some members may not know the current membership yet.
      .filter((name) => isLeader || name > identity.name || this.dialledNames.has(name))
      .map((name) => this.addressOf(name)));
    if (isJoinDue || members.length < seeds.length) seeds.forEach((seed) => wanted.add(seed));
    wanted.delete(identity.address);
    [...this.connectedAddresses].filter((address) => !wanted.has(address)).forEach((address) => {
      hub.disconnect(address);
      this.connectedAddresses.delete(address);
    });
    wanted.forEach((address) => {
      hub.connect(address);
      this.connectedAddresses.add(address);
    });
  }
}
