import { isDeepStrictEqual } from 'node:util';

import type ConsensusEffect from '../../src/consensus/ConsensusEffect';
import type ConsensusMessage from '../../src/consensus/ConsensusMessage';
import findLastIndex from '../../src/consensus/findLastIndex';
import isJoinDue from '../../src/consensus/isJoinDue';
import isLeaveSettled from '../../src/consensus/isLeaveSettled';
import type LogEntry from '../../src/consensus/LogEntry';
import type ReplicaId from '../../src/consensus/ReplicaId';
import vmNameOf from '../../src/consensus/vmNameOf';
import type Random from '../../src/types/Random';
import ModelVm from './ModelVm';

type ModelMessage = ConsensusMessage | 'join' | 'leave' | 'left';

interface ModelPacket {
  readonly from: ReplicaId;
  readonly to: string;
  /** The receiving replica, undefined for any on the VM. */
  readonly replica?: ReplicaId;
  readonly dueMs: number;
  readonly message: ModelMessage;
}

interface Proposal {
  readonly token: number;
  readonly index: number;
  readonly term: number;
}

const STEP_MS = 5;
const TICK_MS = 50;
const MAX_LATENCY_MS = 25;
const JOIN_INTERVAL_MS = 500;
const LEAVE_TIMEOUT_MS = 1500;
const SEEDS = 3;
/** Time in which a change is acknowledged in calm, in milliseconds. */
const CHANGE_LIMIT_MS = 1000;

/**
 * Model of the control VMs under losses of power, disks and machines. It throws if two replicas
 * commit different entries at one index, if two lead in one term, or if a change is lost.
 */
export default class LossModel {
  readonly vms: ModelVm[] = [];

  /** Names of VMs whose messages to another are lost, as `from>to`. */
  readonly cuts = new Set<string>();

  readonly acknowledged = new Set<string>();

  nowMs = 0;

  private packets: ModelPacket[] = [];

  private readonly lastDueMs = new Map<string, number>();

  private readonly committed = new Map<number, LogEntry>();

  private readonly leaders = new Map<number, ReplicaId>();

  private readonly proposals = new Map<ModelVm, Proposal[]>();

  private tokens = 0;

  constructor(size: number, readonly lostVms: number, readonly random: Random) {
    const names = Array.from({ length: size }, (_value, index) => `vm${index}`);
    const voters = names.slice(0, SEEDS).map((name) => `${name}#00`);
    names.forEach((name) => this.addVm(name, voters));
  }

  /** Starts a new VM with an empty disk. */
  addVm(name: string, voters: readonly ReplicaId[] = []): ModelVm {
    const vm = new ModelVm(name, voters, 2 * this.lostVms + 1, this.nowMs, this.random);
    this.vms.push(vm);
    return vm;
  }

  /** Proposes a change on each VM that considers itself the leader. */
  propose(): string {
    this.tokens += 1;
    const dataCentre = `dc-${this.tokens}`;
    this.vms.filter(({ isUp, state }) => isUp && state.role === 'leader').forEach((vm) => vm.events.push({
      kind: 'propose',
      token: this.tokens,
      command: { kind: 'registry', change: { kind: 'evacuate', dataCentre } },
    }));
    return dataCentre;
  }

  /** Ends a process for good after it has asked the group to do without it. */
  leave(vm: ModelVm): void {
    const leaving = vm;
    leaving.isLeaving = true;
    vm.events.push({ kind: 'leave', replica: vm.state.self });
    const endMs = this.nowMs + LEAVE_TIMEOUT_MS;
    while (vm.isUp && leaving.isLeaving && this.nowMs < endMs) this.run(STEP_MS);
    this.remove(vm);
  }

  /** Ends a process for good. */
  remove(vm: ModelVm): void {
    vm.stop();
    if (this.vms.includes(vm)) this.vms.splice(this.vms.indexOf(vm), 1);
  }

  /** Ends a process; its connections end as well. */
  stop(vm: ModelVm): void {
    vm.stop();
    this.proposals.delete(vm);
    this.packets = this.packets
      .filter(({ from, to }) => vmNameOf(from) !== vm.name && to !== vm.name);
  }

  run(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      const due = this.packets.filter(({ dueMs }) => dueMs <= this.nowMs);
      this.packets = this.packets.filter(({ dueMs }) => dueMs > this.nowMs);
      due.forEach((packet) => this.deliver(packet));
      this.vms.filter(({ isUp }) => isUp).forEach((vm) => {
        if (this.nowMs % TICK_MS === 0) this.tick(vm);
        vm.run(this.nowMs).forEach((effect) => this.execute(vm, effect));
      });
      this.checkCopies();
    }
  }

  /** Checks that every running VM follows the leader, holds all changes and can have one made. */
  check(expectedVoters: number): void {
    const change = this.propose();
    this.run(CHANGE_LIMIT_MS);
    if (!this.acknowledged.has(change)) this.fail('no change possible');
    this.vms.filter(({ isUp }) => isUp).forEach((vm) => {
      const lost = [...this.acknowledged].find((name) => !vm.registry.evacuated.includes(name));
      if (lost !== undefined) this.fail(`${vm.name} lacks ${lost}`);
      if (!vm.isCurrent(this.nowMs)) this.fail(`${vm.name} hears no leader`);
      const { voters } = vm.state.members;
      if (voters.length < expectedVoters) this.fail(`${vm.name} knows ${voters.length} voters`);
    });
  }

  /** Checks that the entries which a leader counts for a replica are in the log of the replica. */
  private checkCopies(): void {
    const running = this.vms.filter(({ isUp }) => isUp);
    running.filter(({ state }) => state.role === 'leader').forEach(({ state: leader }) => {
      running.filter(({ state }) => state.term === leader.term).forEach(({ state }) => {
        const counted = leader.progress.get(state.self)?.matchIndex ?? 0;
        const last = findLastIndex(state);
        if (counted > last) this.fail(`${leader.self} counts ${counted} of ${last} in ${state.self}`);
      });
    });
  }

  private fail(reason: string): never {
    const vms = this.vms.map(({ isUp, state }) => [
      state.self, isUp ? state.role : 'down', `term ${state.term}`, `leader ${state.leader}`,
      `voters ${state.members.voters}`, `learners ${state.members.learners}`,
      `commit ${state.commitIndex} of ${findLastIndex(state)}`,
    ].join(', '));
    throw new Error([`${reason} at ${this.nowMs} ms`, ...vms].join('\n'));
  }

  private tick(vm: ModelVm): void {
    const { state } = vm;
    vm.events.push({ kind: 'tick', nowMs: this.nowMs });
    if (vm.isLeaving) this.requestLeave(vm);
    if (vm.isLeaving || !isJoinDue(state) || this.nowMs < vm.nextJoinMs) return;
    Object.assign(vm, { nextJoinMs: this.nowMs + JOIN_INTERVAL_MS });
    this.vms.filter(({ name }) => name !== vm.name).forEach(({ name }) => this.send(vm, name, 'join'));
  }

  private requestLeave(vm: ModelVm): void {
    const { state } = vm;
    const isSettled = state.role === 'leader' ? isLeaveSettled(state, state.self)
      : !state.members.voters.includes(state.self) && state.commitIndex >= state.membersIndex;
    if (isSettled) Object.assign(vm, { isLeaving: false });
    else if (state.leader !== undefined) this.send(vm, vmNameOf(state.leader), 'leave');
  }

  private send(vm: ModelVm, to: string, message: ModelMessage, replica?: ReplicaId): void {
    if (this.cuts.has(`${vm.name}>${to}`)) return;
    // Messages of a session stay in order.
    const link = `${vm.name}>${to}`;
    const latencyMs = Math.floor(this.random() * MAX_LATENCY_MS);
    const dueMs = Math.max(this.nowMs + latencyMs, this.lastDueMs.get(link) ?? 0);
    this.lastDueMs.set(link, dueMs);
    this.packets.push({
      from: vm.state.self, to, dueMs, message, ...(replica === undefined ? {} : { replica }),
    });
  }

  private deliver({
    from, to, replica, message,
  }: ModelPacket): void {
    const vm = this.vms.find(({ name, isUp }) => isUp && name === to);
    if (vm === undefined || (replica !== undefined && vm.state.self !== replica)) return;
    const { state } = vm;
    const isLeader = state.role === 'leader';
    if (message === 'join') {
      if (isLeader || state.leader === undefined) vm.events.push({ kind: 'join', replica: from });
      else this.forwardJoin(from, vmNameOf(state.leader));
    } else if (message === 'leave') {
      if (!isLeader) return;
      if (isLeaveSettled(state, from)) this.send(vm, vmNameOf(from), 'left', from);
      else vm.events.push({ kind: 'leave', replica: from });
    } else if (message === 'left') vm.isLeaving = false;
    else vm.events.push({ kind: 'message', from, message });
  }

  private forwardJoin(replica: ReplicaId, to: string): void {
    if (to === vmNameOf(replica)) return;
    const leader = this.vms.find(({ name, isUp }) => isUp && name === to);
    if (leader?.state.role === 'leader') leader.events.push({ kind: 'join', replica });
  }

  private execute(vm: ModelVm, effect: ConsensusEffect): void {
    const { state } = vm;
    if (effect.kind === 'send') this.send(vm, vmNameOf(effect.to), effect.message, effect.to);
    if (effect.kind === 'proposed') {
      this.proposals.set(vm, [...(this.proposals.get(vm) ?? []), effect]);
    }
    if (effect.kind === 'commit') effect.entries.forEach((entry) => this.commit(vm, entry));
    if (effect.kind !== 'leader' || effect.leader !== state.self || state.role !== 'leader') return;
    const other = this.leaders.get(state.term) ?? state.self;
    if (other !== state.self) this.fail(`${other} and ${state.self} lead in term ${state.term}`);
    this.leaders.set(state.term, state.self);
  }

  private commit(vm: ModelVm, entry: LogEntry): void {
    const { index, term, command } = entry;
    const other = this.committed.get(index) ?? entry;
    if (!isDeepStrictEqual(other, entry)) {
      throw new Error(`entry ${index} is ${JSON.stringify(other)} and ${JSON.stringify(entry)}`);
    }
    this.committed.set(index, entry);
    const isOwn = this.proposals.get(vm)?.some((proposal) => (
      proposal.index === index && proposal.term === term));
    if (isOwn !== true || command.kind !== 'registry') return;
    if (command.change.kind === 'evacuate') this.acknowledged.add(command.change.dataCentre);
  }
}
