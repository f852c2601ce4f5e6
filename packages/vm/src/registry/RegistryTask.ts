import { Err, Ok, type Result } from 'ts-results';

import createConfigurationSnapshot from '@guavayard/core/configuration/createConfigurationSnapshot';
import type ConfigurationSnapshot from '@guavayard/core/configuration/ConfigurationSnapshot';
import type LogEntry from '@guavayard/core/consensus/LogEntry';
import type Failure from '@guavayard/core/errors/Failure';
import fail from '@guavayard/core/errors/fail';
import type Declaration from '@guavayard/core/registry/Declaration';
import findDeclarationMistakes from '@guavayard/core/registry/findDeclarationMistakes';
import isKnownAnnouncement from '@guavayard/core/registry/isKnownAnnouncement';
import isStaleAnnouncement from '@guavayard/core/registry/isStaleAnnouncement';
import type RegisteredTarget from '@guavayard/core/registry/RegisteredTarget';
import type RegistryChange from '@guavayard/core/registry/RegistryChange';
import type RegistryService from '@guavayard/core/registry/RegistryService';

import CallRouter from '../control/CallRouter';
import ConsensusTask from '../control/ConsensusTask';
import type ControlCall from '../control/ControlCall';
import type ControlResponse from '../control/ControlResponse';
import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmSession from '../session/VmSession';
import describePlace from './describePlace';
import PresenceTable from './PresenceTable';
import RegistryPublisher from './RegistryPublisher';
import RegistryStore from './RegistryStore';
import type RegistryTaskOptions from './RegistryTaskOptions';
import type VmPlace from './VmPlace';

/** A replica that has not heard its leader for this long is not current, in milliseconds. */
const CURRENT_MS = 700;
const PULSE_MS = 250;
const PRESENCE_MS = 1000;
/** Reports of presence after which an unchanged roster is sent once more. */
const ROSTER_REPEATS = 10;
/** Longest time for one call: callers give up after a second and try another VM. */
const CALL_TIMEOUT_MS = 900;
/** Longest wait for one leader's answer, so that a call can reach the next leader. */
const FORWARD_TIMEOUT_MS = 400;

/**
 * The control role of a system that is run by declarations: one replica of the registry. Every
 * change is acknowledged once a quorum has synced it.
 */
export default class RegistryTask implements SessionHandler, RegistryService {
  private readonly store: RegistryStore;

  private readonly consensus: ConsensusTask;

  private readonly router: CallRouter;

  private readonly publisher: RegistryPublisher;

  private readonly presence: PresenceTable;

  /** Targets that announced themselves here since the last report to the leader. */
  private readonly heardIds = new Set<string>();

  private readonly controlPlaces = new Map<string, VmPlace>();

  private readonly connected = new Set<string>();

  private timers: NodeJS.Timeout[] = [];

  private lastRoster = '';

  private rosterRepeats = 0;

  constructor(private readonly options: RegistryTaskOptions) {
    const { clock, durable, hub } = options;
    const { snapshot } = durable;
    this.store = new RegistryStore(clock, snapshot.data.registry, snapshot.lastIndex);
    this.presence = new PresenceTable(clock, options.targetSilenceMs);
    this.consensus = new ConsensusTask({
      ...options,
      listener: {
        onCommit: (entries) => this.applyAll(entries),
        onRestore: ({ data, lastIndex }) => {
          this.store.restore(data.registry, lastIndex);
          this.publisher.schedule();
        },
        onLeader: (leader) => {
          options.log.info({ leader, term: this.consensus.term }, 'leader changed');
          this.presence.reset();
          this.publisher.pulse();
        },
        createSnapshot: (): ConfigurationSnapshot => ({
          ...createConfigurationSnapshot(), registry: structuredClone(this.store.state),
        }),
      },
    });
    this.publisher = new RegistryPublisher(
      this.store,
      () => this.isCurrent,
      (message) => hub.sendToControl(message),
    );
    this.router = new CallRouter({
      hub,
      clock,
      consensus: this.consensus,
      handleCall: async (call) => this.handleCall(call),
      callTimeoutMs: CALL_TIMEOUT_MS,
      forwardTimeoutMs: FORWARD_TIMEOUT_MS,
    });
    this.controlPlaces.set(options.identity.name, describePlace(options.identity));
  }

  /** Whether this replica leads, or has just heard from the leader. */
  get isCurrent(): boolean {
    // A replica whose disk hangs takes no part, and may lead no more without knowing it.
    if (this.consensus.pendingWriteMs >= CURRENT_MS) return false;
    return this.consensus.isLeader || this.consensus.timeSinceLeaderContactMs < CURRENT_MS;
  }

  /** Whether this replica takes itself for the leader. */
  get isLeader(): boolean {
    return this.consensus.isLeader;
  }

  /** Version of the declaration that is applied here, 0 without one. */
  get version(): number {
    return this.store.state.declaration?.version ?? 0;
  }

  /** Number of registered targets. */
  get targetCount(): number {
    return Object.keys(this.store.state.targets).length;
  }

  /** Starts to take part in the group. */
  start(): void {
    const { hub } = this.options;
    [this.consensus, this.router, this.publisher, this]
      .forEach((handler) => hub.addHandler(handler));
    this.consensus.start();
    this.keepConnections();
    this.timers = [
      setInterval(() => this.publisher.pulse(), PULSE_MS),
      setInterval(() => this.reportPresence(), PRESENCE_MS),
    ];
  }

  /** Stops taking part. */
  close(): void {
    this.consensus.close();
    this.timers.forEach((timer) => clearInterval(timer));
  }

  onOpen(_session: VmSession, peer: NonNullable<VmSession['peer']>): void {
    if (peer.roles.includes('control')) this.controlPlaces.set(peer.name, describePlace(peer));
  }

  onMessage(_session: VmSession, message: VmMessage): void {
    if (message.kind === 'presence') this.presence.note(message.targetIds, message.entries);
    if (message.kind === 'roster') this.publisher.setRoster(message);
  }

  onClose(): void {}

  /**
   * Puts a declaration in force, unless a higher version already is.
   *
   * @param declaration - the declaration
   * @returns nothing once it cannot be lost, `invalidPatch` with what is wrong, or `noQuorum`
   */
  async declare(declaration: Declaration): Promise<Result<undefined, Failure>> {
    const mistakes = findDeclarationMistakes(declaration);
    if (mistakes.length > 0) return fail('invalidPatch', mistakes.join('; '));
    const { version } = declaration;
    // What is applied here is committed, so a lower version has been overtaken for good.
    if ((this.store.state.declaration?.version ?? -1) >= version) return Ok(undefined);
    const accepted = await this.change({ kind: 'declare', declaration });
    const outcome = accepted.ok ? 'accepted' : accepted.val.kind;
    this.options.log.info({ version, outcome, leader: this.consensus.leaderName }, 'declaration');
    return accepted;
  }

  /** @returns the source of the newest declaration, undefined if there is none, or `noQuorum` */
  async readDeclaration(): Promise<Result<string | undefined, Failure>> {
    const answer = await this.call({ kind: 'declaration' });
    if (answer.err) return answer;
    return Ok(answer.val.kind === 'declaration' ? answer.val.source : undefined);
  }

  /**
   * Takes a data centre out, or takes it back.
   *
   * @param dataCentre - its name
   * @param isOut - whether its targets get no new work from now on
   * @returns nothing once it cannot be lost, or `noQuorum`
   */
  async evacuate(dataCentre: string, isOut: boolean): Promise<Result<undefined, Failure>> {
    const accepted = await this.change({ kind: isOut ? 'evacuate' : 'restore', dataCentre });
    const outcome = accepted.ok ? 'accepted' : accepted.val.kind;
    this.options.log.info({ dataCentre, isOut, outcome }, 'evacuation');
    return accepted;
  }

  /**
   * Takes a target's announcement.
   *
   * @param target - the announcement
   * @returns nothing once all entries that hear control will learn it, or `noQuorum`
   */
  async announce(target: RegisteredTarget): Promise<Result<undefined, Failure>> {
    if (!this.isCurrent) return fail('noQuorum', 'this VM does not hear the leader');
    const { state } = this.store;
    const isKnown = isKnownAnnouncement(state, target, this.store.coldLeftMs(target.id));
    if (isKnown) this.heardIds.add(target.id);
    if (isKnown || isStaleAnnouncement(state, target)) return Ok(undefined);
    const { id, state: announced, coldLeftMs } = target;
    const accepted = await this.change({ kind: 'announce', target });
    this.heardIds.add(id);
    const outcome = accepted.ok ? 'accepted' : accepted.val.kind;
    this.options.log.info({
      target: id, service: target.service, state: announced, coldLeftMs, outcome,
    }, 'target announced');
    return accepted;
  }

  /**
   * Takes the withdrawal of a target.
   *
   * @param targetId - its id
   * @returns nothing once all entries that hear control will learn it, or `noQuorum`
   */
  async withdraw(targetId: string): Promise<Result<undefined, Failure>> {
    const accepted = await this.change({ kind: 'withdraw', targetId });
    const outcome = accepted.ok ? 'accepted' : accepted.val.kind;
    this.options.log.info({ target: targetId, outcome }, 'target withdrawn');
    return accepted;
  }

  findNearControl(dataCentre: string, region: string): string | undefined {
    const voters = new Set(this.consensus.voterNames);
    const places = [...this.controlPlaces.values()].filter(({ name }) => voters.has(name));
    const near = places.find((place) => place.dataCentre === dataCentre)
      ?? places.find((place) => place.region === region);
    return near?.name;
  }

  private async change(change: RegistryChange): Promise<Result<undefined, Failure>> {
    const answer = await this.call({ kind: 'change', change });
    return answer.map(() => undefined);
  }

  private async call(call: ControlCall): Promise<Result<ControlResponse, Failure>> {
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<ControlResponse>((resolve) => {
      timer = setTimeout(() => resolve({
        kind: 'failure', failure: { kind: 'noQuorum', detail: 'no answer in time' },
      }), CALL_TIMEOUT_MS);
    });
    const answer = await Promise.race([this.router.call(call), late]);
    clearTimeout(timer);
    return answer.kind === 'failure' ? Err(answer.failure) : Ok(answer);
  }

  private async handleCall(call: ControlCall): Promise<ControlResponse | undefined> {
    if (!this.consensus.isLeader || !this.isCurrent) return undefined;
    if (call.kind === 'declaration') {
      if (!await this.consensus.confirm()) return undefined;
      return { kind: 'declaration', source: this.store.state.declaration?.source };
    }
    if (call.kind !== 'change') return undefined;
    const { voterNames } = this.consensus;
    const isFounded = this.store.state.declaration !== undefined
      || voterNames.length >= this.options.requiredVoters;
    // Before all voters have joined, an accepted change would survive fewer losses than promised.
    if (!isFounded) return undefined;
    const isDone = await this.consensus.propose({ kind: 'registry', change: call.change });
    return isDone ? { kind: 'changed' } : undefined;
  }

  private applyAll(entries: readonly LogEntry[]): void {
    const { term: currentTerm } = this.consensus;
    entries.forEach(({ index, term, command }) => {
      if (command.kind === 'registry') this.store.apply(index, command.change, term === currentTerm);
      else this.store.advance(index);
    });
    this.publisher.schedule();
  }

  private reportPresence(): void {
    const targetIds = [...this.heardIds];
    const { entries } = this.publisher;
    this.heardIds.clear();
    this.keepConnections();
    if (!this.consensus.isLeader) {
      const { leaderName } = this.consensus;
      if (leaderName === undefined) return;
      this.options.hub.send(leaderName, { kind: 'presence', targetIds, entries });
      return;
    }
    this.presence.note(targetIds, entries);
    this.expireSilent();
    this.publishRoster();
  }

  private expireSilent(): void {
    this.presence.findSilent(this.store.state).forEach((targetId) => {
      const known = this.store.state.targets[targetId];
      if (known === undefined) return;
      const { bornAtMs, sequence } = known;
      this.options.log.info({ target: targetId }, 'target is silent');
      this.consensus.propose({
        kind: 'registry',
        change: {
          kind: 'expire', targetId, bornAtMs, sequence,
        },
      }).catch((err: Error) => this.options.log.error({ err }, 'target cannot be expired'));
    });
  }

  private publishRoster(): void {
    const voters = new Set(this.consensus.voterNames);
    const controls = [...this.controlPlaces.values()]
      .filter(({ name }) => voters.has(name))
      .sort((a, b) => (a.name < b.name ? -1 : 1));
    const roster = { controls, entries: this.presence.entries };
    this.publisher.setRoster(roster);
    // Between regions bytes are dear, so that what is known goes out again only now and then.
    const text = JSON.stringify(roster);
    this.rosterRepeats += 1;
    if (text === this.lastRoster && this.rosterRepeats < ROSTER_REPEATS) return;
    this.lastRoster = text;
    this.rosterRepeats = 0;
    this.options.hub.sendToControl({ kind: 'roster', ...roster });
  }

  /** VMs are named by their IP number in such a system, so a member's name tells its address. */
  private keepConnections(): void {
    const { hub, identity, seeds } = this.options;
    const port = identity.address.slice(identity.address.lastIndexOf(':'));
    const { voterNames, learnerNames, isLeader } = this.consensus;
    const members = [...voterNames, ...learnerNames];
    const isMember = members.includes(identity.name);
    const wanted = new Set(members
      // One of each two members connects; the leader also reaches those that know too little yet.
      .filter((name) => isLeader || name > identity.name)
      .map((name) => `${name}${port}`));
    if (!isMember || members.length < seeds.length) seeds.forEach((seed) => wanted.add(seed));
    wanted.delete(identity.address);
    [...this.connected].filter((address) => !wanted.has(address)).forEach((address) => {
      hub.disconnect(address);
      this.connected.delete(address);
    });
    wanted.forEach((address) => {
      hub.connect(address);
      this.connected.add(address);
    });
  }
}
