import AcceptedPatches from '../../src/configuration/AcceptedPatches';
import type ConsensusEffect from '../../src/consensus/ConsensusEffect';
import type ConsensusEvent from '../../src/consensus/ConsensusEvent';
import type ConsensusMessage from '../../src/consensus/ConsensusMessage';
import type ConsensusRecord from '../../src/consensus/ConsensusRecord';
import type ConsensusState from '../../src/consensus/ConsensusState';
import createConsensusState from '../../src/consensus/createConsensusState';
import createDurableState from '../../src/consensus/createDurableState';
import createConsensusRecords from '../../src/consensus/createConsensusRecords';
import findLastIndex from '../../src/consensus/findLastIndex';
import findTerm from '../../src/consensus/findTerm';
import isJoinDue from '../../src/consensus/isJoinDue';
import type LogEntry from '../../src/consensus/LogEntry';
import mustAwaitSync from '../../src/consensus/mustAwaitSync';
import replayRecords from '../../src/consensus/replayRecords';
import type ReplicaId from '../../src/consensus/ReplicaId';
import step from '../../src/consensus/step';
import type Random from '../../src/types/Random';
import type ModelOptions from './ModelOptions';

interface Batch {
  readonly effects: readonly ConsensusEffect[];
  /** The whole state when the write started. */
  readonly whole: readonly ConsensusRecord[];
  readonly lastIndex: number;
  readonly lastTerm: number | undefined;
}

interface Replica {
  state: ConsensusState;
  patches: AcceptedPatches;
  /** Index of the last entry that has been applied. */
  appliedIndex: number;
  disk: ConsensusRecord[];
  /** Effects that wait for a write to start. */
  waiting: ConsensusEffect[];
  /** The write in progress. */
  batch: Batch | undefined;
}

interface Packet {
  readonly from: ReplicaId;
  readonly to: ReplicaId;
  readonly message: ConsensusMessage | 'join';
}

const VM_NAMES = ['a', 'b', 'c', 'd', 'e'];
const FIRST_VOTERS = 3;
const TICK_MS = 50;
const HEALING_ROUNDS = 400;

function isLocal({ kind }: ConsensusEffect): boolean {
  return kind !== 'send' && kind !== 'write';
}

/**
 * Model of a group of replicas with an unreliable network and disks that lose unsynced writes. It
 * throws as soon as two replicas commit different patches as one version, or lead in one term.
 */
export default class GroupModel {
  readonly packets: Packet[] = [];

  /** Id of the patch that created each version. */
  private readonly accepted = new Map<number, string>();

  /** Leader of each term. */
  private readonly leaders = new Map<number, ReplicaId>();

  private replicas: Replica[];

  private nowMs = 0;

  private patchCount = 0;

  private lostDisks = 0;

  private readonly vmNames: readonly string[];

  /** The first three VMs are the initial voters; the others join the group. */
  constructor(
    size: number,
    private readonly random: Random,
    private readonly options: ModelOptions = {},
  ) {
    this.vmNames = VM_NAMES.slice(0, size);
    const replicas = this.vmNames.map((name) => `${name}#0`);
    const voters = replicas.slice(0, FIRST_VOTERS);
    this.replicas = replicas.map((replica) => {
      const members = voters.includes(replica) ? voters : [];
      return this.startReplica(replica, createConsensusRecords(createDurableState(members)));
    });
  }

  get acceptedCount(): number {
    return this.accepted.size;
  }

  /** Advances the time and sends a tick to one replica. */
  tick(vmIndex: number, passedMs: number): void {
    this.nowMs += passedMs;
    const { state } = this.getReplica(vmIndex);
    if (isJoinDue(state)) this.sendJoinRequests(state.self);
    this.stepReplica(vmIndex, { kind: 'tick', nowMs: this.nowMs });
  }

  /** Delivers, drops or duplicates a packet in flight. */
  deliver(choice: number, delivery: 'deliver' | 'drop' | 'copy'): void {
    const index = choice % Math.max(this.packets.length, 1);
    const packet = this.packets[index];
    if (packet === undefined) return;
    if (delivery !== 'copy') this.packets.splice(index, 1);
    if (delivery === 'drop') return;
    const vmIndex = this.replicas.findIndex(({ state }) => state.self === packet.to);
    if (vmIndex < 0) return;
    const { from, message } = packet;
    if (message === 'join') this.stepReplica(vmIndex, { kind: 'join', replica: from });
    else this.stepReplica(vmIndex, { kind: 'message', from, message });
  }

  /** Proposes a new patch to one of the replicas that consider themselves the leader. */
  propose(choice: number): void {
    const leaders = this.replicas
      .flatMap(({ state }, index) => (state.role === 'leader' ? [index] : []));
    const vmIndex = leaders[choice % leaders.length];
    if (vmIndex === undefined) return;
    this.patchCount += 1;
    const base = this.getReplica(vmIndex).patches.latest.version;
    const patch = { id: `patch-${this.patchCount}`, base, operations: [] };
    this.stepReplica(vmIndex, {
      kind: 'propose', token: this.patchCount, command: { kind: 'patch', patch },
    });
  }

  /** Starts the write of what waits at a replica, or ends the one in progress. */
  sync(vmIndex: number): void {
    const replica = this.getReplica(vmIndex);
    const { state, batch } = replica;
    if (batch === undefined) {
      if (replica.waiting.length === 0) return;
      const lastIndex = findLastIndex(state);
      replica.batch = {
        effects: replica.waiting.splice(0),
        whole: structuredClone(createConsensusRecords(state)),
        lastIndex,
        lastTerm: findTerm(state, lastIndex),
      };
      return;
    }
    replica.batch = undefined;
    GroupModel.writeBatch(replica, batch, Infinity);
    const { effects, lastIndex, lastTerm } = batch;
    effects.forEach((effect) => this.execute(replica, effect));
    const votes = effects
      .filter((effect) => effect.kind === 'write' && effect.record.kind === 'vote');
    this.stepReplica(vmIndex, {
      kind: 'synced', nowMs: this.nowMs, lastIndex, lastTerm, votes: votes.length, durationMs: 0,
    });
  }

  /** Compacts the log of one replica. */
  compact(vmIndex: number): void {
    const {
      state, patches, waiting, batch,
    } = this.getReplica(vmIndex);
    // What has been committed is not applied yet.
    if ([...waiting, ...batch?.effects ?? []].some(isLocal)) return;
    this.stepReplica(vmIndex, {
      kind: 'compact', index: state.commitIndex, data: patches.snapshot(),
    });
  }

  /**
   * Crashes and restarts a replica while it processes a tick. Only the first writes of the step are
   * synced; its other writes and effects are lost.
   */
  crash(vmIndex: number, syncedWrites: number): void {
    const replica = this.getReplica(vmIndex);
    const effects = step(replica.state, { kind: 'tick', nowMs: this.nowMs });
    this.writePart(replica, effects, syncedWrites);
    this.replicas[vmIndex % this.vmNames.length] = this.startReplica(
      replica.state.self,
      replica.disk,
    );
  }

  /** Crashes and restarts a replica while it processes a packet. */
  crashOnPacket(choice: number, syncedWrites: number): void {
    const packet = this.packets[choice % Math.max(this.packets.length, 1)];
    const vmIndex = this.replicas.findIndex(({ state }) => state.self === packet?.to);
    if (packet === undefined || packet.message === 'join' || vmIndex < 0) return;
    const replica = this.getReplica(vmIndex);
    const { from, message } = packet;
    const effects = step(replica.state, { kind: 'message', from, message });
    this.writePart(replica, effects, syncedWrites);
    this.replicas[vmIndex] = this.startReplica(replica.state.self, replica.disk);
  }

  /**
   * Loses the disk of one replica, at most once: the group only tolerates a second loss after the
   * first replica has been replaced.
   */
  loseDisk(vmIndex: number): void {
    if (this.lostDisks > 0) return;
    this.lostDisks += 1;
    const name = this.vmNames[vmIndex % this.vmNames.length] ?? '';
    const replica = this.startReplica(`${name}#1`, createConsensusRecords(createDurableState([])));
    this.replicas[vmIndex % this.vmNames.length] = replica;
  }

  /** Runs the group without faults for some rounds, each as long as a tick. */
  runWithoutFaults(rounds: number): void {
    for (let round = 0; round < rounds; round += 1) {
      this.vmNames.forEach((_name, vmIndex) => {
        this.tick(vmIndex, TICK_MS / this.vmNames.length);
        this.sync(vmIndex);
      });
      const { length } = this.packets;
      for (let count = 0; count < length; count += 1) this.deliver(0, 'deliver');
    }
  }

  /** Heals the network, and checks that the group makes progress and kept all accepted patches. */
  heal(): void {
    this.runWithoutFaults(HEALING_ROUNDS);
    this.propose(0);
    this.runWithoutFaults(HEALING_ROUNDS);
    const versions = this.replicas.map(({ patches }) => patches.latest.version);
    const expected = Math.max(...this.accepted.keys());
    if (versions.some((version) => version !== expected)) {
      throw new Error(`accepted version ${expected}, but the replicas have ${versions.join(', ')}`);
    }
    const voters = this.replicas.map(({ state }) => state.members.voters.length);
    if (voters.some((count) => count !== this.vmNames.length)) {
      throw new Error(`not all replicas are voters again: ${voters.join(', ')} voters`);
    }
  }

  private sendJoinRequests(self: ReplicaId): void {
    this.replicas.map(({ state }) => state.self).filter((replica) => replica !== self)
      .forEach((to) => this.packets.push({ from: self, to, message: 'join' }));
  }

  private getReplica(vmIndex: number): Replica {
    return this.replicas[vmIndex % this.vmNames.length] as Replica;
  }

  private startReplica(self: ReplicaId, disk: ConsensusRecord[]): Replica {
    const durable = replayRecords(structuredClone(disk)).unwrap();
    const state = createConsensusState(self, durable, this.nowMs, this.random);
    state.syncsLate = this.options.syncsLate === true;
    return {
      state,
      patches: new AcceptedPatches(durable.snapshot.data),
      appliedIndex: durable.snapshot.lastIndex,
      disk,
      waiting: [],
      batch: undefined,
    };
  }

  private stepReplica(vmIndex: number, event: ConsensusEvent): void {
    const replica = this.getReplica(vmIndex);
    const { state } = replica;
    const { syncedIndex } = state;
    const isCounted = this.options.countsUnsynced === true && state.role === 'leader';
    if (isCounted) state.syncedIndex = Infinity;
    const effects = step(state, event);
    if (isCounted && state.syncedIndex === Infinity) state.syncedIndex = syncedIndex;
    if (this.options.syncsLate === true) {
      this.executeLate(replica, effects);
      return;
    }
    this.write(replica, effects);
    effects.forEach((effect) => this.execute(replica, effect));
  }

  private executeLate(replica: Replica, effects: readonly ConsensusEffect[]): void {
    const { state, waiting, batch } = replica;
    if (state.role === 'leader') this.recordLeader(state);
    effects.forEach((effect) => {
      const isOvertaking = isLocal(effect)
        && [...batch?.effects ?? [], ...waiting].some(isLocal);
      const mayWait = effect.kind === 'write' || this.options.sendsUnsynced !== true;
      if (isOvertaking || (mayWait && mustAwaitSync(state, effect))) waiting.push(effect);
      else this.execute(replica, effect);
    });
  }

  /** Syncs the first records of what a replica was writing when it crashed. */
  private writePart(
    replica: Replica,
    effects: readonly ConsensusEffect[],
    syncedWrites: number,
  ): void {
    if (this.options.syncsLate !== true) {
      this.write(replica, effects.filter(({ kind }) => kind === 'write').slice(0, syncedWrites));
    } else if (replica.batch !== undefined) {
      GroupModel.writeBatch(replica, replica.batch, syncedWrites);
    }
  }

  private static writeBatch(replica: Replica, { effects, whole }: Batch, count: number): void {
    const records = effects.flatMap((effect) => (effect.kind === 'write' ? [effect.record] : []));
    const isReplaced = records.some(({ kind }) => kind === 'snapshot');
    if (isReplaced && count > 0) replica.disk.splice(0, Infinity, ...whole);
    if (!isReplaced) replica.disk.push(...structuredClone(records.slice(0, count)));
  }

  private write(replica: Replica, effects: readonly ConsensusEffect[]): void {
    effects.forEach((effect) => {
      if (effect.kind !== 'write') return;
      const { record } = effect;
      if (record.kind === 'vote' && this.options.losesVotes === true) return;
      if (record.kind === 'snapshot') replica.disk.splice(0, Infinity, ...createConsensusRecords(replica.state));
      else replica.disk.push(structuredClone(record));
    });
  }

  private execute(state: Replica, effect: ConsensusEffect): void {
    const { self, role } = state.state;
    if (effect.kind === 'send') {
      this.packets.push({ from: self, to: effect.to, message: structuredClone(effect.message) });
    }
    if (effect.kind === 'commit') {
      effect.entries.forEach((entry) => {
        if (entry.index !== state.appliedIndex + 1) {
          throw new Error(`entry ${entry.index} is applied after entry ${state.appliedIndex}`);
        }
        this.commit(state, entry);
        state.appliedIndex = entry.index;
      });
    }
    if (effect.kind === 'restore') {
      state.patches = new AcceptedPatches(effect.snapshot.data);
      state.appliedIndex = effect.snapshot.lastIndex;
    }
    if (effect.kind === 'leader' && role === 'leader') this.recordLeader(state.state);
  }

  private recordLeader({ term, self }: ConsensusState): void {
    const other = this.leaders.get(term) ?? self;
    if (other !== self) throw new Error(`${other} and ${self} lead in term ${term}`);
    this.leaders.set(term, self);
  }

  private commit(replica: Replica, { command }: LogEntry): void {
    if (command.kind !== 'patch') return;
    const { version } = replica.patches.latest;
    replica.patches.applyCommitted(command.patch);
    if (replica.patches.latest.version === version) return;
    const other = this.accepted.get(version + 1) ?? command.patch.id;
    if (other !== command.patch.id) {
      throw new Error(`version ${version + 1} is ${other} and ${command.patch.id}`);
    }
    this.accepted.set(version + 1, command.patch.id);
  }
}
