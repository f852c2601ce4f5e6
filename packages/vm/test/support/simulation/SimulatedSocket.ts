import { EventEmitter } from 'node:events';

import type SimulatedHost from './SimulatedHost';

/** One end of a connection of a `SimulatedNetwork`, as far as sessions use sockets. */
export default class SimulatedSocket extends EventEmitter {
  /** The other end, undefined until the connection is open. */
  peer: SimulatedSocket | undefined;

  isDestroyed = false;

  /** Whether nothing that is sent from this end arrives any more. */
  isSilent = false;

  /** What was sent while the connection was being opened, or was cut; undefined is the end. */
  readonly held: (Buffer | undefined)[] = [];

  /** When the last bytes sent from this end arrive. */
  lastDueMs = 0;

  constructor(
    readonly host: SimulatedHost,
    private readonly transmit: (from: SimulatedSocket, chunk?: Buffer) => void,
  ) {
    super();
  }

  setNoDelay(): this {
    return this;
  }

  write(chunk: Buffer): void {
    if (!this.isDestroyed) this.transmit(this, chunk);
  }

  destroy(): void {
    if (this.isDestroyed) return;
    this.isDestroyed = true;
    this.transmit(this);
  }

  /** Passes on what has arrived; undefined is the end of the connection. */
  receive(chunk: Buffer | undefined, error?: Error): void {
    this.host.run(() => {
      if (this.isDestroyed) return;
      if (chunk !== undefined) {
        this.emit('data', chunk);
        return;
      }
      this.isDestroyed = true;
      if (error !== undefined) this.emit('error', error);
      this.emit('close');
    });
  }
}
