import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type TargetRequest from '@guavayard/core/dispatch/TargetRequest';

import type TargetConnection from './TargetConnection';

/** The connections of this entry to one target. */
export default class TargetConnections {
  /** The connections, the one that was used last first. */
  private connections: TargetConnection[] = [];

  constructor(private readonly create: () => TargetConnection) {}

  /** Number of open connections that have carried a response and can take a request at once. */
  get readyCount(): number {
    return this.connections.filter(({ isReady }) => isReady).length;
  }

  /**
   * Sends a request on the open connection that was used last, so that the others expire, and on a
   * new one only if none is free.
   *
   * @param req - the request
   * @param handler - receives the response
   * @param limit - number of connections above which requests wait for one
   * @returns a handle to resume or abort the exchange
   */
  send(req: TargetRequest, handler: AnswerHandler, limit: number): Dispatch {
    const connection = this.select(limit);
    this.connections = [connection, ...this.connections.filter((other) => other !== connection)];
    return connection.send(req, handler);
  }

  /** Closes the connections once their requests have finished. */
  async close(): Promise<void> {
    await Promise.all(this.connections.map(async (connection) => connection.close()));
  }

  private select(limit: number): TargetConnection {
    const free = this.connections.find(({ isReady }) => isReady)
      ?? this.connections.find(({ load }) => load === 0);
    if (free !== undefined) return free;
    const [first, ...others] = this.connections;
    if (first === undefined || this.connections.length < limit) return this.create();
    return others.reduce((best, other) => (other.load < best.load ? other : best), first);
  }
}
