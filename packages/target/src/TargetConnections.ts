import ProcessProof from '@guavayard/core/connections/ProcessProof';
import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type TargetRequest from '@guavayard/core/dispatch/TargetRequest';
import type Clock from '@guavayard/core/types/Clock';

import type TargetConnection from './TargetConnection';
import UnsentDispatch from './UnsentDispatch';

/** The connections of this entry to one target. */
export default class TargetConnections {
  /** The connections, the one that was used last first. */
  private connections: TargetConnection[] = [];

  private readonly proof = new ProcessProof();

  constructor(
    private readonly create: (proof: ProcessProof) => TargetConnection,
    private readonly clock: Clock,
  ) {}

  /** Number of open connections that have carried a response and can take a request at once. */
  get readyCount(): number {
    return this.connections.filter(({ isReady }) => isReady).length;
  }

  /** Number of connections that carry requests other than probes. */
  private get requestCount(): number {
    return this.connections.filter(({ hasRequest }) => hasRequest).length;
  }

  /** Whether a bound request may be sent on a new connection. */
  get mayOpen(): boolean {
    return this.hasOpenProof || this.proof.hasPass(this.clock());
  }

  /** Whether an open connection shows that the process lives which a probe has told of. */
  private get hasOpenProof(): boolean {
    return this.proof.isCurrent && this.connections.some(({ isProven }) => isProven);
  }

  /**
   * Sends a request on the open connection that was used last, so that the others expire, and on a
   * new one only if none is free. Nothing waits for the end of a request: a probe gets a new
   * connection beyond the limit if it needs one, which requests do not use up, as its delay would
   * pass for silence of the target. A request beyond the limit fails unsent, as it would be written
   * whatever has become of the target by then.
   *
   * @param req - the request
   * @param handler - receives the response
   * @param limit - most connections that carry requests other than probes
   * @returns a handle to resume or abort the exchange
   */
  send(req: TargetRequest, handler: AnswerHandler, limit: number): Dispatch {
    if (req.purpose !== 'probe' && this.requestCount >= limit) return new UnsentDispatch(req, handler);
    const connection = this.select();
    this.connections = [connection, ...this.connections.filter((other) => other !== connection)];
    if (req.purpose === 'probe') {
      return connection.send(req, this.watchProbe(connection, handler), () => true);
    }
    return connection.send(req, handler, this.createStartCheck(req, connection));
  }

  /** Closes the connections once their requests have finished. */
  async close(): Promise<void> {
    await Promise.all(this.connections.map(async (connection) => connection.close()));
  }

  private watchProbe(connection: TargetConnection, handler: AnswerHandler): AnswerHandler {
    const { endCount } = this.proof;
    return {
      onConnected: () => handler.onConnected(),
      onHeaders: (status, headers) => handler.onHeaders(status, headers),
      onData: (chunk) => handler.onData(chunk),
      onEnd: () => {
        this.proof.recordProbe(endCount, connection.isProven, this.clock());
        handler.onEnd();
      },
      onFailure: (failure) => handler.onFailure(failure),
    };
  }

  /** Creates the check of a request whose connection has carried no response when it is written. */
  private createStartCheck(
    { purpose }: TargetRequest,
    connection: TargetConnection,
  ): () => boolean {
    if (purpose === undefined) return () => true;
    // The connection that it was sent for must not have ended.
    if (connection.isReady) return () => false;
    const { endCount } = this.proof;
    if (this.hasOpenProof) return () => endCount === this.proof.endCount;
    return this.proof.takePass(this.clock()) ? () => true : () => false;
  }

  private select(): TargetConnection {
    return this.connections.find(({ isReady }) => isReady)
      ?? this.connections.find(({ isFree }) => isFree)
      ?? this.create(this.proof);
  }
}
