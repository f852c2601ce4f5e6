import ProcessProof from '@guavayard/core/connections/ProcessProof';
import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type TargetRequest from '@guavayard/core/dispatch/TargetRequest';
import type TargetSender from '@guavayard/core/dispatch/TargetSender';
import type Failure from '@guavayard/core/errors/Failure';
import type SendAddress from '@guavayard/core/types/SendAddress';

import type FleetActor from './FleetActor';
import type FleetClock from './FleetClock';
import type FleetProcess from './FleetProcess';

/** Time that a message takes in one direction, in milliseconds. */
const LATENCY_MS = 0.5;
const HEALTH_PATH = '/health';
const BODY = 'served';

interface SenderOptions {
  readonly clock: FleetClock;
  readonly actor: FleetActor;
  readonly findListener: (address: string) => FleetProcess | undefined;
  readonly onOpened: (address: string, isWorking: boolean) => void;
  /** Tells what the entry knows of the target at an address, for traces. */
  readonly describe: (address: string) => string;
}

/** One exchange, as the entry sees it. */
interface Exchange {
  readonly address: string;
  readonly req: TargetRequest;
  readonly handler: AnswerHandler;
  /** Connections that had ended when it was sent. */
  readonly endCount: number;
  isOver: boolean;
  /** Connection that carries it. */
  connection: Connection | undefined;
}

/** A keep-alive connection of the entry. */
interface Connection {
  readonly process: FleetProcess;
  readonly onClosed: () => void;
  isOpen: boolean;
  hasAnswered: boolean;
  /** Returns whether its first response proves the process. */
  readonly mayProve: () => boolean;
  exchange: Exchange | undefined;
}

/** The connections to one address, and what they tell of its process. */
interface Connections {
  open: Connection[];
  readonly proof: ProcessProof;
}

/** Simulates the keep-alive connections of one entry to processes that end and start. */
export default class FleetSender implements TargetSender {
  private readonly connections = new Map<string, Connections>();

  constructor(private readonly options: SenderOptions) {}

  countReady(address: string): number {
    return this.findReady(address).length;
  }

  mayOpen(address: string): boolean {
    return this.hasOpenProof(address)
      || this.connectionsTo(address).proof.hasPass(this.options.clock.nowMs);
  }

  private hasOpenProof(address: string): boolean {
    const { open, proof } = this.connectionsTo(address);
    return proof.isCurrent && open.some(({ isOpen, hasAnswered }) => isOpen && hasAnswered);
  }

  /** Closes the free connections to an address, and the others once their requests have ended. */
  closeConnections(address: string): void {
    const { open } = this.connectionsTo(address);
    this.connections.delete(address);
    open.filter(({ exchange }) => exchange === undefined)
      .forEach((connection) => FleetSender.close(connection));
  }

  send({ address }: SendAddress, req: TargetRequest, handler: AnswerHandler): Dispatch {
    const { endCount } = this.connectionsTo(address).proof;
    const exchange: Exchange = {
      address, req, handler, endCount, isOver: false, connection: undefined,
    };
    const [ready] = this.findReady(address);
    const trace = this.trace(ready ?? { process: this.options.findListener(address) }, address);
    if (ready === undefined) this.connect(exchange, trace, this.createStartCheck(address, req));
    else this.write(ready, exchange, trace);
    return {
      resume: () => undefined,
      abort: (failure) => {
        if (exchange.connection !== undefined) this.drop(address, exchange.connection);
        FleetSender.fail(exchange, failure);
      },
    };
  }

  /** Describes a request to a cold process. */
  private trace({ process, ...connection }: Partial<Connection>, address: string): string {
    if (process === undefined || process.coldLeftMs === 0) return '';
    return `${connection.isOpen === true ? 'kept' : 'new'} ${this.options.describe(address)}`;
  }

  private findReady(address: string): Connection[] {
    return this.connectionsTo(address).open.filter((connection) => (
      connection.isOpen && connection.hasAnswered && connection.exchange === undefined));
  }

  private connectionsTo(address: string): Connections {
    const known = this.connections.get(address);
    if (known !== undefined) return known;
    const connections = { open: [], proof: new ProcessProof() };
    this.connections.set(address, connections);
    return connections;
  }

  /** Creates the check of a request on a new connection once that is open. */
  private createStartCheck(address: string, { purpose }: TargetRequest): () => boolean {
    if (purpose !== 'bound') return () => true;
    const { proof } = this.connectionsTo(address);
    const { endCount } = proof;
    if (this.hasOpenProof(address)) return () => endCount === proof.endCount;
    return proof.takePass(this.options.clock.nowMs) ? () => true : () => false;
  }

  private connect(exchange: Exchange, trace: string, mayStart: () => boolean): void {
    const { clock, findListener, onOpened } = this.options;
    const { address } = exchange;
    const connections = this.connectionsTo(address);
    clock.after(LATENCY_MS, () => {
      const process = findListener(address);
      if (process === undefined) {
        this.deliver(() => {
          connections.proof.recordEnd();
          if (this.connections.get(address) === connections) onOpened(address, false);
          FleetSender.fail(exchange, { kind: 'targetUnreachable', detail: 'ECONNREFUSED' });
        });
        return;
      }
      const connection: Connection = {
        process,
        isOpen: true,
        hasAnswered: false,
        exchange: undefined,
        mayProve: mayStart,
        onClosed: () => this.deliver(() => this.lose(connections, address, connection)),
      };
      process.connections.add(connection);
      this.deliver(() => {
        if (exchange.isOver || !mayStart()) {
          FleetSender.close(connection);
          FleetSender.fail(exchange, {
            kind: 'targetUnreachable', detail: 'unsent', isUnsent: true,
          });
          return;
        }
        connections.open.unshift(connection);
        this.write(connection, exchange, trace);
      });
    });
  }

  private write(connection: Connection, exchange: Exchange, trace: string): void {
    const state = exchange;
    const { clock } = this.options;
    const { process } = connection;
    state.connection = connection;
    Object.assign(connection, { exchange });
    state.handler.onConnected();
    const respond = (response: ReturnType<FleetProcess['probe']> | undefined): void => {
      if (response !== undefined) {
        this.deliver(() => this.finish(connection, exchange, response));
      } else if (process.connections.delete(connection)) connection.onClosed();
    };
    clock.after(LATENCY_MS, () => {
      if (!process.connections.has(connection)) return;
      const { path, headers } = state.req;
      if (path === HEALTH_PATH) respond(process.probe());
      else {
        process.receive({
          requestId: headers[headers.indexOf('id') + 1] ?? '',
          expectedId: headers[headers.indexOf('expected') + 1] ?? '',
        }, trace, respond);
      }
    });
  }

  private finish(
    connection: Connection,
    exchange: Exchange,
    { status, headers }: ReturnType<FleetProcess['probe']>,
  ): void {
    if (exchange.isOver || !connection.isOpen) return;
    const { address, handler } = exchange;
    if (!connection.hasAnswered) this.options.onOpened(address, true);
    if (!connection.hasAnswered) Object.assign(connection, { hasAnswered: connection.mayProve() });
    handler.onHeaders(status, headers);
    if (exchange.isOver) return;
    Object.assign(exchange, { isOver: true });
    Object.assign(connection, { exchange: undefined });
    const { open, proof } = this.connectionsTo(address);
    const isKept = headers.connection !== 'close' && open.includes(connection);
    if (!isKept) this.drop(address, connection);
    if (exchange.req.purpose === 'probe') {
      proof.recordProbe(exchange.endCount, connection.isOpen, this.options.clock.nowMs);
    }
    if (status === 200) handler.onData(Buffer.from(BODY));
    handler.onEnd();
  }

  /** Handles that the process has closed a connection. */
  private lose(connections: Connections, address: string, connection: Connection): void {
    if (!connection.isOpen) return;
    const { exchange, hasAnswered } = connection;
    connections.proof.recordEnd();
    this.drop(address, connection);
    if (exchange === undefined) return;
    if (!hasAnswered && this.connections.get(address) === connections) {
      this.options.onOpened(address, false);
    }
    FleetSender.fail(exchange, { kind: 'targetFailed', detail: 'ECONNABORTED' });
  }

  private drop(address: string, connection: Connection): void {
    FleetSender.close(connection);
    const connections = this.connectionsTo(address);
    connections.open = connections.open.filter((other) => other !== connection);
  }

  private deliver(run: () => void): void {
    const { clock, actor } = this.options;
    clock.after(LATENCY_MS, () => actor.deliver('network', run));
  }

  private static close(connection: Connection): void {
    Object.assign(connection, { isOpen: false });
    connection.process.connections.delete(connection);
  }

  private static fail(exchange: Exchange, failure: Failure): void {
    if (exchange.isOver) return;
    Object.assign(exchange, { isOver: true });
    exchange.handler.onFailure(failure);
  }
}
