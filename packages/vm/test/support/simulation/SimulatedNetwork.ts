import type { Server, Socket } from 'node:net';

import type Random from '@guavayard/core/types/Random';

import type SessionTransport from '../../../src/session/SessionTransport';
import type SimulatedClock from './SimulatedClock';
import type SimulatedHost from './SimulatedHost';
import SimulatedSocket from './SimulatedSocket';

interface Listener {
  readonly host: SimulatedHost;
  readonly accept: (socket: Socket) => void;
}

const MAX_LATENCY_MS = 25;

/** Connections between VMs whose bytes arrive in order after a random time, or not at all. */
export default class SimulatedNetwork {
  /** Names of VMs whose messages to another do not arrive for the time being, as `from>to`. */
  private readonly cuts = new Set<string>();

  private readonly sockets = new Set<SimulatedSocket>();

  private readonly listeners = new Map<string, Listener>();

  private readonly refusing = new Set<string>();

  constructor(private readonly clock: SimulatedClock, private readonly random: Random) {}

  /** Both ends of all connections, of those being opened one. */
  get openSockets(): SimulatedSocket[] {
    return [...this.sockets].filter(({ isDestroyed, host }) => !isDestroyed && !host.isDown);
  }

  /** @returns the transport of a VM, which accepts connections at the address */
  transportOf(host: SimulatedHost, address: string): SessionTransport {
    return {
      createServer: (accept) => {
        this.listeners.set(address, { host, accept });
        return {
          close: () => {
            if (this.listeners.get(address)?.host === host) this.listeners.delete(address);
          },
        } as unknown as Server;
      },
      connect: (to) => this.connect(host, to) as unknown as Socket,
      checkPeer: () => undefined,
    };
  }

  /** Makes a VM refuse new connections, or accept them again. */
  refuse(address: string, isRefusing: boolean): void {
    if (isRefusing) this.refusing.add(address);
    else this.refusing.delete(address);
  }

  /** Ends the process of a VM. Without power the other VMs are not told. */
  stop(host: SimulatedHost, hasPower = true): void {
    const stopped = host;
    const ends = this.openSockets.filter((socket) => socket.host === host);
    stopped.isDown = true;
    this.listeners.forEach((listener, address) => {
      if (listener.host === host) this.listeners.delete(address);
    });
    ends.forEach((socket) => {
      if (hasPower) socket.destroy();
      else Object.assign(socket, { isDestroyed: true });
    });
  }

  /** Holds back what one VM sends to another. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  /** Ends all cuts; what was held back arrives. */
  heal(): void {
    this.cuts.clear();
    this.sockets.forEach((socket) => this.release(socket));
  }

  private connect(host: SimulatedHost, address: string): SimulatedSocket {
    const socket = this.create(host);
    this.clock.after(this.drawLatency(), () => this.open(socket, address));
    return socket;
  }

  private open(socket: SimulatedSocket, address: string): void {
    if (socket.isDestroyed || socket.host.isDown) return;
    const listener = this.listeners.get(address);
    if (listener === undefined || this.refusing.has(address)) {
      socket.receive(undefined, new Error(`connect ECONNREFUSED ${address}`));
      return;
    }
    const { name } = listener.host;
    const isCut = [`${socket.host.name}>${name}`, `${name}>${socket.host.name}`]
      .some((cut) => this.cuts.has(cut));
    if (isCut) {
      this.clock.after(MAX_LATENCY_MS, () => this.open(socket, address));
      return;
    }
    const accepted = this.create(listener.host);
    Object.assign(accepted, { peer: socket });
    Object.assign(socket, { peer: accepted });
    listener.host.run(() => listener.accept(accepted as unknown as Socket));
    this.release(socket);
  }

  private create(host: SimulatedHost): SimulatedSocket {
    const socket = new SimulatedSocket(host, (from, chunk) => this.transmit(from, chunk));
    this.sockets.add(socket);
    return socket;
  }

  private release(socket: SimulatedSocket): void {
    socket.held.splice(0).forEach((chunk) => this.transmit(socket, chunk));
  }

  private transmit(from: SimulatedSocket, chunk: Buffer | undefined): void {
    const { peer } = from;
    if (chunk === undefined && peer?.isDestroyed !== false) this.sockets.delete(from);
    if (from.isSilent) return;
    if (peer === undefined || this.cuts.has(`${from.host.name}>${peer.host.name}`)) {
      from.held.push(chunk);
      return;
    }
    const dueMs = Math.max(from.lastDueMs, this.clock.nowMs + this.drawLatency());
    Object.assign(from, { lastDueMs: dueMs });
    this.clock.after(dueMs - this.clock.nowMs, () => this.deliver(from, peer, chunk));
  }

  private deliver(from: SimulatedSocket, to: SimulatedSocket, chunk: Buffer | undefined): void {
    // A machine that has power again knows nothing of the connections from before.
    const isReset = to.host.isDown
      && [...this.listeners.values()].some(({ host }) => host.name === to.host.name);
    if (isReset) from.receive(undefined, new Error('read ECONNRESET'));
    else to.receive(chunk);
  }

  private drawLatency(): number {
    return this.random() * MAX_LATENCY_MS;
  }
}
