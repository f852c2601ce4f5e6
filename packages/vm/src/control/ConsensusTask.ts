import { setTimeout as sleep } from 'node:timers/promises';

import countConfirmedVoters from '@guavayard/core/consensus/countConfirmedVoters';
import createConsensusState from '@guavayard/core/consensus/createConsensusState';
import Command from '@guavayard/core/consensus/Command';
import type ConsensusEffect from '@guavayard/core/consensus/ConsensusEffect';
import type ConsensusEvent from '@guavayard/core/consensus/ConsensusEvent';
import type ConsensusState from '@guavayard/core/consensus/ConsensusState';
import describeElection from '@guavayard/core/consensus/describeElection';
import type ElectionState from '@guavayard/core/consensus/ElectionState';
import findLastIndex from '@guavayard/core/consensus/findLastIndex';
import findSilentMembers from '@guavayard/core/consensus/findSilentMembers';
import findSilentVms from '@guavayard/core/consensus/findSilentVms';
import isCompactionDue from '@guavayard/core/consensus/isCompactionDue';
import isJoinDue from '@guavayard/core/consensus/isJoinDue';
import isLeaveSettled from '@guavayard/core/consensus/isLeaveSettled';
import isVoter from '@guavayard/core/consensus/isVoter';
import type ReplicaId from '@guavayard/core/consensus/ReplicaId';
import step from '@guavayard/core/consensus/step';
import vmNameOf from '@guavayard/core/consensus/vmNameOf';

import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmIdentity from '../session/VmIdentity';
import type VmSession from '../session/VmSession';
import type ConsensusTaskOptions from './ConsensusTaskOptions';
import EffectQueue from './EffectQueue';
import LogWriter from './LogWriter';
import PendingCalls from './PendingCalls';

const TICK_MS = 50;
/** Time since the last tick from which on the process has stood still, in milliseconds. */
const LATE_TICK_MS = 250;
const JOIN_RETRY_INTERVAL_MS = 500;
/** Longest time for which a process that stops waits for its removal from the group. */
const LEAVE_TIMEOUT_MS = 1500;
const LEAVE_RETRY_INTERVAL_MS = 50;
/** Version of the messages from which on leaders understand `leave`. */
const LEAVE_PROTOCOL_VERSION = 2;
/**
 * Time after which a write in progress makes the replica ignore all events, in milliseconds: the
 * others elect another leader, and no more memory is used. They send again what it missed.
 */
const STALLED_WRITE_MS = 5000;

/**
 * Drives one replica: processes events one after the other and executes their effects, those that
 * rest on writes once these are synced.
 */
export default class ConsensusTask implements SessionHandler {
  private readonly state: ConsensusState;

  private readonly events: ConsensusEvent[] = [];

  private readonly calls = new PendingCalls();

  private isProcessing = false;

  private isClosed = false;

  private isLeaving = false;

  /** Index of the last entry that the listener has applied. */
  private appliedIndex: number;

  private isCaughtUp = false;

  /** Whether a leader has told this replica that it may stop. */
  private hasLeft = false;

  private readonly writer: LogWriter;

  private readonly effects: EffectQueue;

  private nextJoinMs = 0;

  private tickedAtMs = 0;

  /** Whether the last tick came so late that it was left out. */
  private isResuming = false;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ConsensusTaskOptions) {
    const {
      replica, durable, clock, random, requiredVoters,
    } = options;
    this.state = createConsensusState(replica, durable, clock(), random, requiredVoters);
    this.state.syncsLate = true;
    this.appliedIndex = this.state.commitIndex;
    this.writer = new LogWriter(options);
    this.effects = new EffectQueue({
      state: this.state,
      writer: this.writer,
      clock,
      execute: (effect) => this.executeEffect(effect),
      onSynced: (effects, event) => this.handleSync(effects, event),
      onFailure: (err) => this.fail(err),
    });
  }

  /** Starts taking part in the consensus group. */
  start(): void {
    this.tickedAtMs = this.options.clock();
    this.timer = setInterval(() => {
      // After a standstill, there may be another leader, and a follower may have heard from it.
      if (this.isLeader) this.tick();
      else setImmediate(() => this.tickUnlessLate());
    }, TICK_MS);
    this.tick();
  }

  /** Stops taking part in the consensus group. */
  close(): void {
    this.isClosed = true;
    this.effects.close();
    clearInterval(this.timer);
  }

  onOpen(_session: VmSession, { name }: VmIdentity): void {
    this.push({ kind: 'connected', vmName: name });
  }

  onMessage(session: VmSession, message: VmMessage): void {
    if (message.kind === 'consensus' && message.to === this.state.self) {
      this.push({
        kind: 'message', from: message.from, message: message.message, nowMs: this.options.clock(),
      });
    }
    if (message.kind === 'join') this.handleJoin(message.replica);
    if (message.kind === 'leave') this.handleLeave(session, message.replica);
    if (message.kind === 'left' && message.replica === this.state.self) this.hasLeft = true;
  }

  onClose(): void {}

  get isLeader(): boolean {
    return this.state.role === 'leader';
  }

  get term(): number {
    return this.state.term;
  }

  /** Index of the last entry of the log, whether it is committed or not. */
  get lastLogIndex(): number {
    return findLastIndex(this.state);
  }

  /** Whether this replica leads and has applied all that was committed before its term. */
  get hasCommittedInTerm(): boolean {
    return this.isLeader && this.appliedIndex >= this.state.termStartIndex;
  }

  /** Whether all that was committed before the term of some leader has been applied. */
  get hasCaughtUp(): boolean {
    return this.isCaughtUp;
  }

  /** Name of the leader's VM, undefined if none is known. */
  get leaderName(): string | undefined {
    return this.state.leader === undefined ? undefined : vmNameOf(this.state.leader);
  }

  /** Names of the voting VMs. */
  get voterNames(): string[] {
    return this.state.members.voters.map(vmNameOf);
  }

  /** Whether this replica has to ask the group to take it in. */
  get isJoinDue(): boolean {
    return isJoinDue(this.state);
  }

  /** Number of voters whose copy of the log this replica knows, if it leads. */
  get confirmedVoterCount(): number {
    return countConfirmedVoters(this.state);
  }

  /** Names of the VMs that replicate the log without a vote. */
  get learnerNames(): string[] {
    return this.state.members.learners.map(vmNameOf);
  }

  /** What decides whether this replica can be elected. */
  get electionState(): ElectionState {
    return describeElection(this.state);
  }

  /** Members that have not responded to this replica for some time, if it leads. */
  get silentMembers(): ReplicaId[] {
    return findSilentMembers(this.state);
  }

  /** Names of the VMs of which no member responds to this replica, if it leads. */
  get silentVms(): string[] {
    return findSilentVms(this.state);
  }

  /**
   * Proposes a command for the log.
   *
   * @param command - the command to append
   * @returns true once the command is committed and applied, false if its outcome is unknown or if
   *   it does not match the schema that reads the log
   */
  async propose(command: Command): Promise<boolean> {
    const parsed = Command.safeParse(command);
    if (!parsed.success) {
      this.options.onMalformedCommand?.(parsed.error);
      return false;
    }
    return this.calls.create((token) => this.push({
      kind: 'propose', token, command: parsed.data,
    }));
  }

  /**
   * Waits for a linearizable read point: a quorum has confirmed the leadership of this replica, and
   * every command accepted before the call is applied here.
   *
   * @returns false if this replica does not lead
   */
  async awaitReadPoint(): Promise<boolean> {
    return this.calls.create((token) => this.push({ kind: 'read', token }));
  }

  /** Time since the last message from the leader, in milliseconds. */
  get timeSinceLeaderContactMs(): number {
    return this.options.clock() - this.state.leaderContactAtMs;
  }

  /** Time for which the write in progress has been running or refused, in milliseconds, or 0. */
  get pendingWriteMs(): number {
    return this.writer.pendingMs;
  }

  /** Whether the disk hangs or refuses writes, so that this replica takes no part in the group. */
  get isStalled(): boolean {
    return this.writer.isRefused || this.pendingWriteMs >= STALLED_WRITE_MS;
  }

  /**
   * Asks the group to do without this replica, so that its quorum no longer counts it once the
   * process has ended. Ends early if no leader responds.
   *
   * @returns nothing, once the process may end
   */
  async leave(): Promise<void> {
    const { clock, replica } = this.options;
    const deadlineMs = clock() + LEAVE_TIMEOUT_MS;
    this.isLeaving = true;
    this.push({ kind: 'leave', replica });
    while (!this.hasSettledLeave() && clock() < deadlineMs) {
      this.requestLeave();
      // eslint-disable-next-line no-await-in-loop -- attempts are sequential
      await sleep(LEAVE_RETRY_INTERVAL_MS);
    }
  }

  private hasSettledLeave(): boolean {
    if (this.hasLeft) return true;
    if (this.isLeader) return isLeaveSettled(this.state, this.options.replica);
    return !isVoter(this.state) && this.state.commitIndex >= this.state.membersIndex;
  }

  private requestLeave(): void {
    const { leaderName } = this;
    const { hub, replica } = this.options;
    if (this.isLeader || leaderName === undefined) return;
    if (hub.protocolVersionOf(leaderName) < LEAVE_PROTOCOL_VERSION) return;
    hub.send(leaderName, { kind: 'leave', replica });
  }

  private handleLeave(session: VmSession, replica: ReplicaId): void {
    if (!this.isLeader) return;
    if (isLeaveSettled(this.state, replica)) session.send({ kind: 'left', replica });
    else this.push({ kind: 'leave', replica });
  }

  /** Forwards a join request to the leader, whose address a joining replica may not know. */
  private handleJoin(replica: ReplicaId): void {
    const { leaderName } = this;
    if (this.isLeader || leaderName === undefined) this.push({ kind: 'join', replica });
    else if (leaderName !== vmNameOf(replica)) this.options.hub.send(leaderName, { kind: 'join', replica });
  }

  /** A process that stood still first reads the messages that have arrived meanwhile. */
  private tickUnlessLate(): void {
    const nowMs = this.options.clock();
    this.isResuming = nowMs - this.tickedAtMs >= LATE_TICK_MS && !this.isResuming;
    if (this.isResuming) this.tickedAtMs = nowMs;
    else this.tick();
  }

  private tick(): void {
    const nowMs = this.options.clock();
    this.tickedAtMs = nowMs;
    this.push({ kind: 'tick', nowMs });
  }

  private push(event: ConsensusEvent): void {
    if (this.isClosed) return;
    if (this.isStalled) {
      if ('token' in event) this.calls.finish(event.token, false);
      return;
    }
    this.events.push(event);
    if (!this.isProcessing) this.processEvents();
  }

  private processEvents(): void {
    this.isProcessing = true;
    try {
      for (let event = this.events.shift(); event !== undefined; event = this.events.shift()) {
        this.effects.add(step(this.state, event));
        this.checkCaughtUp();
        this.compactIfDue();
        this.joinIfDue();
      }
    } catch (err) {
      this.fail(err as Error);
    }
    this.isProcessing = false;
  }

  private handleSync(effects: readonly ConsensusEffect[], event: ConsensusEvent): void {
    // What the effects cause is processed after all of them.
    this.isProcessing = true;
    effects.forEach((effect) => this.executeEffect(effect));
    this.events.unshift(event);
    this.processEvents();
  }

  /** Stops the replica, as its state may differ from its log. */
  private fail(err: Error): void {
    this.isClosed = true;
    this.events.length = 0;
    this.effects.close();
    this.options.onFailure(err);
  }

  private checkCaughtUp(): void {
    if (this.isCaughtUp || !this.state.hasCaughtUp || !this.hasAppliedAll) return;
    this.isCaughtUp = true;
    this.options.listener.onCaughtUp?.();
  }

  private get hasAppliedAll(): boolean {
    return this.appliedIndex === this.state.commitIndex;
  }

  private executeEffect(effect: ConsensusEffect): void {
    const { hub, listener, replica } = this.options;
    if (effect.kind === 'send') {
      hub.send(vmNameOf(effect.to), {
        kind: 'consensus', from: replica, to: effect.to, message: effect.message,
      });
    }
    if (effect.kind === 'commit') {
      listener.onCommit(effect.entries);
      this.appliedIndex = effect.entries.at(-1)?.index ?? this.appliedIndex;
      effect.entries.forEach(({ index, term }) => this.calls.handleCommit(index, term));
    }
    if (effect.kind === 'restore') {
      listener.onRestore(effect.snapshot);
      this.appliedIndex = effect.snapshot.lastIndex;
      this.calls.failProposals();
    }
    if (effect.kind === 'proposed') this.calls.trackProposal(effect.token, effect.index, effect.term);
    if (effect.kind === 'refused') this.calls.finish(effect.token, false);
    if (effect.kind === 'readReady') this.calls.finish(effect.token, true);
    if (effect.kind === 'leader') {
      if (!this.isLeader) this.calls.failProposals();
      listener.onLeaderChange(effect.leader);
    }
  }

  private compactIfDue(): void {
    if (!this.hasAppliedAll || !isCompactionDue(this.state)) return;
    const data = this.options.listener.createSnapshot();
    this.events.push({ kind: 'compact', index: this.state.commitIndex, data });
  }

  private joinIfDue(): void {
    const { hub, clock, replica } = this.options;
    if (this.isLeaving || !this.isJoinDue) return;
    if (clock() < this.nextJoinMs) return;
    this.nextJoinMs = clock() + JOIN_RETRY_INTERVAL_MS;
    hub.sendToControl({ kind: 'join', replica });
  }
}
