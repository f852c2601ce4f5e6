import AcceptedPatches from '../../src/configuration/AcceptedPatches';
import type ConsensusEffect from '../../src/consensus/ConsensusEffect';
import type ConsensusEvent from '../../src/consensus/ConsensusEvent';
import type ConsensusMessage from '../../src/consensus/ConsensusMessage';
import type ConsensusRecord from '../../src/consensus/ConsensusRecord';
import type ConsensusState from '../../src/consensus/ConsensusState';
import createConsensusState from '../../src/consensus/createConsensusState';
import createDurableState from '../../src/consensus/createDurableState';
import createRecords from '../../src/consensus/createRecords';
import isMember from '../../src/consensus/isMember';
import type LogEntry from '../../src/consensus/LogEntry';
import replayRecords from '../../src/consensus/replayRecords';
import type ReplicaId from '../../src/consensus/ReplicaId';
import step from '../../src/consensus/step';
import type Random from '../../src/types/Random';
import type ModelOptions from './ModelOptions';

interface Replica {
  state: ConsensusState;
  patches: AcceptedPatches;
  disk: ConsensusRecord[];
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

/**
 * A group of replicas on a network and disks that lose what they may lose. It throws as soon as
 * two replicas commit different patches as one version, or two lead in one term.
 */
export default class GroupModel {
  readonly packets: Packet[] = [];

  /** Id of the patch that made each version. */
  private readonly accepted = new Map<number, string>();

  private readonly leaders = new Map<number, ReplicaId>();

  private replicas: Replica[];

  private nowMs = 0;

  private patchCount = 0;

  private lostDisks = 0;

  private readonly vmNames: readonly string[];

  /** Three VMs start the group; those beyond join it. */
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
      return this.startReplica(replica, createRecords(createDurableState(members)));
    });
  }

  get acceptedCount(): number {
    return this.accepted.size;
  }

  /** Lets time pass for one replica. */
  tick(at: number, passedMs: number): void {
    this.nowMs += passedMs;
    const { state } = this.replicaAt(at);
    if (!isMember(state.members, state.self)) this.askToJoin(state.self);
    this.take(at, { kind: 'tick', nowMs: this.nowMs });
  }

  /** Delivers, drops or delivers a copy of any packet on its way. */
  deliver(choice: number, fate: 'deliver' | 'drop' | 'copy'): void {
    const index = choice % Math.max(this.packets.length, 1);
    const packet = this.packets[index];
    if (packet === undefined) return;
    if (fate !== 'copy') this.packets.splice(index, 1);
    if (fate === 'drop') return;
    const at = this.replicas.findIndex(({ state }) => state.self === packet.to);
    if (at < 0) return;
    const { from, message } = packet;
    if (message === 'join') this.take(at, { kind: 'join', replica: from });
    else this.take(at, { kind: 'message', from, message });
  }

  /** Submits a new patch to one of the replicas that take themselves for the leader. */
  propose(choice: number): void {
    const leaders = this.replicas.flatMap(({ state }, at) => (state.role === 'leader' ? [at] : []));
    const at = leaders[choice % leaders.length];
    if (at === undefined) return;
    this.patchCount += 1;
    const base = this.replicaAt(at).patches.latest.version;
    const patch = { id: `patch-${this.patchCount}`, base, operations: [] };
    this.take(at, { kind: 'propose', token: this.patchCount, command: { kind: 'patch', patch } });
  }

  /** Makes one replica compact its log. */
  compact(at: number): void {
    const { state, patches } = this.replicaAt(at);
    this.take(at, { kind: 'compact', index: state.commitIndex, data: patches.snapshot() });
  }

  /**
   * Crashes a replica while it takes a tick: some of its writes are lost, and so is all else that
   * the step asked for.
   */
  crash(at: number, keptWrites: number): void {
    const replica = this.replicaAt(at);
    const effects = step(replica.state, { kind: 'tick', nowMs: this.nowMs });
    this.write(replica, effects.filter((effect) => effect.kind === 'write').slice(0, keptWrites));
    this.replicas[at % this.vmNames.length] = this.startReplica(replica.state.self, replica.disk);
  }

  /** Crashes a replica while it takes a packet. */
  crashOnPacket(choice: number, keptWrites: number): void {
    const packet = this.packets[choice % Math.max(this.packets.length, 1)];
    const at = this.replicas.findIndex(({ state }) => state.self === packet?.to);
    if (packet === undefined || packet.message === 'join' || at < 0) return;
    const replica = this.replicaAt(at);
    const { from, message } = packet;
    const effects = step(replica.state, { kind: 'message', from, message });
    this.write(replica, effects.filter((effect) => effect.kind === 'write').slice(0, keptWrites));
    this.replicas[at] = this.startReplica(replica.state.self, replica.disk);
  }

  /** Loses the disk of one replica, once: a second loss may come only after the repair. */
  loseDisk(at: number): void {
    if (this.lostDisks > 0) return;
    this.lostDisks += 1;
    const name = this.vmNames[at % this.vmNames.length] ?? '';
    const replica = this.startReplica(`${name}#1`, createRecords(createDurableState([])));
    this.replicas[at % this.vmNames.length] = replica;
  }

  /** Lets the group work without a fault for some rounds, each as long as a tick. */
  runWell(rounds: number): void {
    for (let round = 0; round < rounds; round += 1) {
      this.vmNames.forEach((_name, at) => this.tick(at, TICK_MS / this.vmNames.length));
      const { length } = this.packets;
      for (let count = 0; count < length; count += 1) this.deliver(0, 'deliver');
    }
  }

  /** Lets the network work again, and checks that the group goes on with all that was accepted. */
  heal(): void {
    this.runWell(HEALING_ROUNDS);
    this.propose(0);
    this.runWell(HEALING_ROUNDS);
    const versions = this.replicas.map(({ patches }) => patches.latest.version);
    const expected = Math.max(...this.accepted.keys());
    if (versions.some((version) => version !== expected)) {
      throw new Error(`accepted ${expected}, but the replicas are at ${versions.join(', ')}`);
    }
    const voters = this.replicas.map(({ state }) => state.members.voters.length);
    if (voters.some((count) => count !== this.vmNames.length)) {
      throw new Error(`the group was not repaired: ${voters.join(', ')} voters`);
    }
  }

  private askToJoin(self: ReplicaId): void {
    this.replicas.map(({ state }) => state.self).filter((replica) => replica !== self)
      .forEach((to) => this.packets.push({ from: self, to, message: 'join' }));
  }

  private replicaAt(at: number): Replica {
    return this.replicas[at % this.vmNames.length] as Replica;
  }

  private startReplica(self: ReplicaId, disk: ConsensusRecord[]): Replica {
    const durable = replayRecords(structuredClone(disk)).unwrap();
    return {
      state: createConsensusState(self, durable, this.nowMs, this.random),
      patches: new AcceptedPatches(durable.snapshot.data),
      disk,
    };
  }

  private take(at: number, event: ConsensusEvent): void {
    const replica = this.replicaAt(at);
    const effects = step(replica.state, event);
    this.write(replica, effects);
    effects.forEach((effect) => this.carryOut(replica, effect));
  }

  private write(replica: Replica, effects: readonly ConsensusEffect[]): void {
    effects.forEach((effect) => {
      if (effect.kind !== 'write') return;
      const { record } = effect;
      if (record.kind === 'vote' && this.options.losesVotes === true) return;
      if (record.kind === 'snapshot') replica.disk.splice(0, Infinity, ...createRecords(replica.state));
      else replica.disk.push(structuredClone(record));
    });
  }

  private carryOut(state: Replica, effect: ConsensusEffect): void {
    const { self, term, role } = state.state;
    if (effect.kind === 'send') {
      this.packets.push({ from: self, to: effect.to, message: structuredClone(effect.message) });
    }
    if (effect.kind === 'commit') effect.entries.forEach((entry) => this.commit(state, entry));
    if (effect.kind === 'restore') state.patches = new AcceptedPatches(effect.snapshot.data);
    if (effect.kind !== 'leader' || role !== 'leader') return;
    const other = this.leaders.get(term) ?? self;
    if (other !== self) throw new Error(`${other} and ${self} lead in term ${term}`);
    this.leaders.set(term, self);
  }

  private commit(replica: Replica, { command }: LogEntry): void {
    if (command.kind !== 'patch') return;
    const { version } = replica.patches.latest;
    replica.patches.accept(command.patch);
    if (replica.patches.latest.version === version) return;
    const other = this.accepted.get(version + 1) ?? command.patch.id;
    if (other !== command.patch.id) {
      throw new Error(`version ${version + 1} is ${other} and ${command.patch.id}`);
    }
    this.accepted.set(version + 1, command.patch.id);
  }
}
