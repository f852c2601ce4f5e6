import type Random from '@guavayard/core/types/Random';

import SessionVm from './SessionVm';
import type SimulatedClock from './SimulatedClock';
import SimulatedNetwork from './SimulatedNetwork';

/** Time in which sessions time out, and connections are tried again, in milliseconds. */
const SETTLE_MS = 5000;
/** Longest time for which a message is on its way, in milliseconds. */
const DELIVERY_MS = 100;

/** VMs that dial each other over a simulated network, and what holds of their sessions. */
export default class SessionModel {
  /** The present process of each VM. */
  readonly vms: SessionVm[];

  readonly network: SimulatedNetwork;

  /** Former processes that still run. */
  private readonly draining = new Set<SessionVm>();

  /** Names of the VMs that each VM dials. */
  private readonly dialled = new Map<string, Set<string>>();

  private starts = 0;

  private probes = 0;

  constructor(names: readonly string[], readonly clock: SimulatedClock, random: Random) {
    this.network = new SimulatedNetwork(clock, random);
    this.vms = names.map((name) => this.create(name));
  }

  private get all(): SessionVm[] {
    return [...this.vms, ...this.draining];
  }

  connect(from: number, to: number): void {
    const [vm, peer] = this.pick(from, to);
    this.dialled.get(vm.name)?.add(peer.name);
    vm.act(() => vm.hub.connect(peer.name));
  }

  disconnect(from: number, to: number): void {
    const [vm, peer] = this.pick(from, to);
    this.dialled.get(vm.name)?.delete(peer.name);
    vm.act(() => vm.hub.disconnect(peer.name));
  }

  reopen(from: number, to: number): void {
    const [vm, peer] = this.pick(from, to);
    this.dialled.get(vm.name)?.add(peer.name);
    vm.act(() => vm.hub.reopen(peer.name));
  }

  /** Starts a VM anew; its former process is killed, loses power, or drains meanwhile. */
  restart(index: number, way: 'kill' | 'power' | 'drain', drainMs: number): void {
    const former = this.vms[index] as SessionVm;
    if (way === 'drain') {
      this.draining.add(former);
      this.clock.after(drainMs, () => {
        former.act(() => former.hub.close());
        this.draining.delete(former);
      });
    } else this.network.stop(former.host, way === 'kill');
    const present = this.create(former.name);
    this.vms[index] = present;
    this.dialled.get(former.name)?.forEach((to) => present.act(() => present.hub.connect(to)));
  }

  /** Closes an open session at one end. */
  close(choice: number): void {
    const sessions = this.all.flatMap((vm) => [...vm.open].map((session) => ({ vm, session })));
    const { vm, session } = sessions[choice % sessions.length] ?? {};
    vm?.act(() => session?.close('closed by the model'));
  }

  /** Makes a connection silent in one direction or both. */
  hang(choice: number, isBoth: boolean): void {
    const sockets = this.network.openSockets;
    const socket = sockets[choice % sockets.length];
    if (socket === undefined) return;
    Object.assign(socket, { isSilent: true });
    if (isBoth && socket.peer !== undefined) Object.assign(socket.peer, { isSilent: true });
  }

  refuse(index: number, isRefusing: boolean): void {
    this.network.refuse(this.vms[index]?.name ?? '', isRefusing);
  }

  /** Checks what holds at any moment. */
  checkAlways(): void {
    this.all.forEach((vm) => {
      if (vm.mistakes.length > 0) throw new Error(vm.mistakes.join('; '));
      this.vms.filter((peer) => peer.name !== vm.name).forEach((peer) => {
        const starts = vm.startsOf(peer.name);
        const isListed = vm.hub.namesOf('control').includes(peer.name);
        if (isListed !== starts.length > 0) {
          throw new Error(`${vm.startId} lists ${peer.name}: ${isListed}, though sessions are open with ${starts.join() || 'none'}`);
        }
        if (vm.connected.has(peer.name) !== starts.length > 0) {
          throw new Error(`${vm.startId} logs ${peer.name} as ${isListed ? 'lost' : 'connected'}, though sessions are open with ${starts.join() || 'none'}`);
        }
      });
    });
  }

  /** Checks that a message to a VM arrives at its present process exactly if a session is open. */
  async checkSettled(): Promise<void> {
    this.vms.forEach(({ name }) => this.network.refuse(name, false));
    await this.run(SETTLE_MS);
    this.probes += 1;
    const text = `probe#${this.probes}`;
    const sent = this.vms.flatMap((vm) => this.vms.filter((peer) => peer !== vm).map((peer) => ({
      vm, peer, isSent: vm.act(() => vm.hub.send(peer.name, { kind: 'left', replica: text })),
    })));
    await this.run(DELIVERY_MS);
    sent.forEach(({ vm, peer, isSent }) => {
      const isExpected = this.isDialled(vm, peer);
      if (isSent !== isExpected) throw new Error(`${vm.startId} can send to ${peer.startId}: ${isSent}`);
    });
    this.vms.forEach((peer) => {
      const expected = sent.filter((one) => one.peer === peer && one.isSent).length;
      const arrived = peer.received.filter((one) => one === text).length;
      if (arrived !== expected) throw new Error(`${arrived} of ${expected} messages arrive at ${peer.startId}`);
    });
    const pairs = [...this.dialled.values()].reduce((sum, { size }) => sum + size, 0);
    const sockets = this.network.openSockets.length;
    if (sockets !== 2 * pairs) throw new Error(`${sockets} sockets for ${pairs} connections`);
  }

  /** Stops all processes, and checks that nothing of their sessions is left. */
  async checkEnd(): Promise<void> {
    this.vms.forEach((vm) => vm.act(() => vm.hub.close()));
    await this.run(SETTLE_MS);
    const left = this.network.openSockets.length;
    if (left > 0) throw new Error(`${left} sockets are left`);
    if (this.clock.timerCount > 0) throw new Error(`${this.clock.timerCount} timers are left`);
  }

  async run(durationMs: number): Promise<void> {
    const endMs = this.clock.nowMs + durationMs;
    while (this.clock.nowMs < endMs) {
      // eslint-disable-next-line no-await-in-loop -- one step after the other
      await this.clock.run(Math.min(10, endMs - this.clock.nowMs));
      this.checkAlways();
    }
  }

  private isDialled(vm: SessionVm, peer: SessionVm): boolean {
    return this.dialled.get(vm.name)?.has(peer.name) === true
      || this.dialled.get(peer.name)?.has(vm.name) === true;
  }

  private pick(from: number, to: number): [SessionVm, SessionVm] {
    const index = from % this.vms.length;
    const other = (index + 1 + (to % (this.vms.length - 1))) % this.vms.length;
    return [this.vms[index] as SessionVm, this.vms[other] as SessionVm];
  }

  private create(name: string): SessionVm {
    this.starts += 1;
    if (!this.dialled.has(name)) this.dialled.set(name, new Set());
    return new SessionVm(name, `${name}-${this.starts}.3`, this.network, this.clock);
  }
}
