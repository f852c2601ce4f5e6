import ProcessProof from '@guavayard/core/connections/ProcessProof';
import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type TargetRequest from '@guavayard/core/dispatch/TargetRequest';
import type TargetSender from '@guavayard/core/dispatch/TargetSender';
import type Failure from '@guavayard/core/errors/Failure';
import type Clock from '@guavayard/core/types/Clock';
import type SendAddress from '@guavayard/core/types/SendAddress';

import type FakeTarget from './FakeTarget';

const PROBE_MS = 2;
const CONNECT_MS = 1;
const HEALTH_PATH = '/health';
const CHUNK_BYTES = 64 * 1024;
const FAILURES: Partial<Record<FakeTarget['mode'], Failure>> = {
  resets: { kind: 'targetFailed', detail: 'reset' },
  silent: { kind: 'targetFailed', detail: 'silent' },
};
const STATUSES: Partial<Record<FakeTarget['mode'], number>> = {
  'not-run': 503, busy: 503, fails: 500,
};

const FOREIGN_HEADERS = { id: 'another request', signed: 'yes', 'content-length': '1' };

interface SentRequest {
  readonly target: FakeTarget;
  readonly slowness: number;
  readonly headers: readonly string[];
}

/** The ways in which one exchange ends. */
interface FakeExchange {
  /** Ends it with its connection. */
  readonly end: (run: () => void) => void;
  /** Ends it with a complete response, after which the connection is free. */
  readonly complete: (run: () => void) => void;
  readonly isOver: () => boolean;
}

/** An exchange that has not ended. */
interface OpenExchange {
  readonly isProbe: boolean;
  readonly target: FakeTarget;
  readonly fail: () => void;
}

/** Simulates the connections to fake targets without sockets. */
export default class FakeSender implements TargetSender {
  /** Requests that were sent, excluding probes. */
  readonly sent: SentRequest[] = [];

  /** Addresses to which anything was sent. */
  readonly addresses = new Set<string>();

  probes = 0;

  aborts = 0;

  /** Requests that found no connection left. */
  unsent = 0;

  /** Called with whether a new connection to an address has carried a response, or failed. */
  onOpened: (address: string, isWorking: boolean) => void = () => undefined;

  /** Probes that wait for a free slot. */
  private readonly waitingProbes: (() => void)[] = [];

  /** Open connections without a request, by address. */
  private readonly ready = new Map<string, number>();

  /** What connections tell of the process at an address. */
  private readonly proofs = new Map<string, ProcessProof>();

  /** Open connections that have carried a response, by address. */
  private readonly answered = new Map<string, number>();

  /** What is under way. */
  private readonly exchanges = new Set<OpenExchange>();

  /** Number of restarts, by target. */
  private readonly restarts = new Map<FakeTarget, number>();

  /** Responses that the entry has not read yet, while it stands still. */
  private held: (() => void)[] | undefined;

  constructor(
    private readonly targets: readonly FakeTarget[],
    private readonly clock: Clock = () => 0,
  ) {}

  /** Holds back all responses until `release`. */
  hold(): void {
    this.held = [];
  }

  release(): void {
    const held = this.held ?? [];
    this.held = undefined;
    held.forEach((run) => run());
  }

  send(address: SendAddress, req: TargetRequest, handler: AnswerHandler): Dispatch {
    const target = this.targets.find((candidate) => candidate.address === address.address);
    if (target === undefined) throw new Error(`no target at ${address.address}`);
    this.addresses.add(address.address);
    const isProbe = req.purpose === 'probe';
    if (!isProbe && this.countRequests(target) >= address.connectionLimit) {
      this.unsent += 1;
      return FakeSender.holdBack(handler, 'all connections are in use');
    }
    let isOver = false;
    const isNew = this.countReady(target.address) === 0;
    const proof = this.proofOf(target.address);
    if (isNew && req.purpose === 'bound' && !this.mayOpen(target.address)) {
      return FakeSender.holdBack(handler, 'the connection has ended');
    }
    if (isNew && req.purpose === 'bound' && this.countAnswered(target.address) === 0) {
      proof.takePass(this.clock());
    }
    const { endCount } = proof;
    if (!isNew) this.ready.set(target.address, this.countReady(target.address) - 1);
    const exchange: OpenExchange = {
      isProbe,
      target,
      fail: () => {
        isOver = true;
        this.exchanges.delete(exchange);
        proof.recordEnd();
        handler.onFailure({ kind: 'targetFailed', detail: 'reset' });
      },
    };
    const end = (run: () => void): void => {
      if (isOver) return;
      isOver = true;
      this.exchanges.delete(exchange);
      if (!isNew) this.addAnswered(target.address, -1);
      run();
    };
    this.exchanges.add(exchange);
    if (isNew && target.refusesConnections === true) {
      setTimeout(() => end(() => {
        this.onOpened(target.address, false);
        handler.onFailure({ kind: 'targetFailed', detail: 'reset' });
      }), CONNECT_MS);
      return { resume: () => undefined, abort: (failure) => end(() => handler.onFailure(failure)) };
    }
    const complete = (run: () => void): void => {
      if (this.held !== undefined) {
        this.held.push(() => complete(run));
        return;
      }
      end(() => {
        if (isNew) this.onOpened(target.address, true);
        const kept = target.closesConnections === true ? 0 : 1;
        this.ready.set(target.address, this.countReady(target.address) + kept);
        this.addAnswered(target.address, kept);
        if (req.purpose === 'probe') proof.recordProbe(endCount, kept === 1, this.clock());
        run();
      });
    };
    const dispatch: Dispatch = {
      resume: () => undefined,
      abort: (failure) => {
        if (req.path !== HEALTH_PATH) this.aborts += 1;
        end(() => handler.onFailure(failure));
      },
    };
    if (req.path === HEALTH_PATH) this.probe(target, handler, complete);
    else this.run(target, req, handler, { end, complete, isOver: () => isOver });
    return dispatch;
  }

  /** Ends the process of a target with its connections and starts another one in its place. */
  restart(target: FakeTarget, change: Partial<FakeTarget> = {}): void {
    Object.assign(target, { running: 0, ...change });
    this.ready.delete(target.address);
    this.answered.delete(target.address);
    this.proofOf(target.address).recordEnd();
    this.restarts.set(target, (this.restarts.get(target) ?? 0) + 1);
    [...this.exchanges].filter((exchange) => exchange.target === target)
      .forEach(({ fail }) => fail());
  }

  mayOpen(address: string): boolean {
    const proof = this.proofOf(address);
    return (proof.isCurrent && this.countAnswered(address) > 0) || proof.hasPass(this.clock());
  }

  /** Counts the requests other than probes that have a connection to a target. */
  private countRequests(target: FakeTarget): number {
    return [...this.exchanges].filter((exchange) => exchange.target === target && !exchange.isProbe)
      .length;
  }

  private static holdBack(handler: AnswerHandler, detail: string): Dispatch {
    setTimeout(() => handler.onFailure({ kind: 'targetUnreachable', detail, isUnsent: true }), 0);
    return { resume: () => undefined, abort: () => undefined };
  }

  private proofOf(address: string): ProcessProof {
    const known = this.proofs.get(address) ?? new ProcessProof();
    this.proofs.set(address, known);
    return known;
  }

  private countAnswered(address: string): number {
    return this.answered.get(address) ?? 0;
  }

  private addAnswered(address: string, count: number): void {
    this.answered.set(address, Math.max(0, this.countAnswered(address) + count));
  }

  countReady(address: string): number {
    return this.ready.get(address) ?? 0;
  }

  private probe(
    target: FakeTarget,
    handler: AnswerHandler,
    complete: (run: () => void) => void,
  ): void {
    this.probes += 1;
    if (target.mode === 'silent' || target.ignoresProbes === true) return;
    if (target.isMute === true && target.running >= target.slots) {
      this.waitingProbes.push(() => this.probe(target, handler, complete));
      return;
    }
    setTimeout(() => complete(() => {
      handler.onHeaders(200, {
        target: target.id,
        ...FakeSender.describeLoad(target),
        cold: String(target.coldLeftMs),
        ...FakeSender.describeLimit(target),
        ...(target.leaving === 'all' ? { leaving: '1' } : {}),
      });
      handler.onEnd();
    }), target.probeMs ?? PROBE_MS);
  }

  private run(
    target: FakeTarget,
    req: TargetRequest,
    handler: AnswerHandler,
    exchange: FakeExchange,
  ): void {
    const { end, isOver } = exchange;
    const state = target;
    const { slowness } = target;
    this.sent.push({ target, slowness, headers: req.headers });
    state.running += 1;
    handler.onConnected();
    if (target.mode === 'silent') return;
    const restarts = this.restarts.get(target);
    FakeSender.work(target, () => {
      if (this.restarts.get(target) !== restarts) return;
      state.running -= 1;
      this.waitingProbes.splice(0).forEach((probeAgain) => probeAgain());
      if (state.mode === 'crashes' || state.mode === 'crashes late') {
        if (state.mode === 'crashes late' && !isOver()) FakeSender.begin(target, req, handler);
        state.mode = 'silent';
        end(() => handler.onFailure({ kind: 'targetFailed', detail: 'reset' }));
        return;
      }
      // The response to another request does not end this one.
      if (target.mode === 'foreign' && !isOver()) handler.onHeaders(200, FOREIGN_HEADERS);
      else if (!isOver()) FakeSender.respond(target, req, handler, exchange);
    });
  }

  /** Runs the work of one request. */
  private static work(target: FakeTarget, onDone: () => void): void {
    if (target.isProgressive !== true) {
      setTimeout(onDone, target.workMs * target.slowness);
      return;
    }
    let leftMs = target.workMs;
    const step = (): void => {
      leftMs -= 1 / target.slowness;
      if (leftMs > 0) setTimeout(step, 1);
      else onDone();
    };
    setTimeout(step, 1);
  }

  private static respond(
    target: FakeTarget,
    req: TargetRequest,
    handler: AnswerHandler,
    { end, complete, isOver }: FakeExchange,
  ): void {
    const failure = FAILURES[target.mode];
    if (failure !== undefined) {
      end(() => handler.onFailure(failure));
      return;
    }
    const body = target.id.padEnd(target.bodyBytes ?? 0, '.');
    const id = req.headers[req.headers.indexOf('id') + 1];
    const headers: Record<string, string> = {
      id: id ?? '',
      ...FakeSender.describeLoad(target),
      ...FakeSender.describeLimit(target),
      ...(target.leaving === undefined ? {} : { leaving: '1' }),
    };
    if (target.mode !== 'unframed') headers['content-length'] = String(body.length);
    if (target.mode !== 'unsigned') headers.signed = 'yes';
    if (target.mode === 'not-run') headers['not-run'] = '1';
    if (target.mode === 'not-run' && target.restMs !== undefined) headers.rest = String(target.restMs);
    handler.onHeaders(STATUSES[target.mode] ?? 200, headers);
    const finish = (): void => {
      if (target.tailMs === undefined) complete(() => handler.onEnd());
      else setTimeout(() => complete(() => handler.onEnd()), target.tailMs);
    };
    const sendFrom = (start: number): void => {
      if (isOver()) return;
      handler.onData(Buffer.from(body.slice(start, start + CHUNK_BYTES)));
      const next = start + CHUNK_BYTES;
      if (next >= body.length) finish();
      else if (target.chunkGapMs === undefined) sendFrom(next);
      else setTimeout(() => sendFrom(next), target.chunkGapMs);
    };
    sendFrom(0);
  }

  /** Sends the head and half of the body of a response. */
  private static begin(target: FakeTarget, req: TargetRequest, handler: AnswerHandler): void {
    const bytes = target.bodyBytes ?? CHUNK_BYTES;
    const id = req.headers[req.headers.indexOf('id') + 1] ?? '';
    handler.onHeaders(200, { id, signed: 'yes', 'content-length': String(bytes) });
    handler.onData(Buffer.alloc(Math.floor(bytes / 2)));
  }

  private static describeLimit({ limit }: FakeTarget): Record<string, string> {
    return limit === undefined ? {} : { limit: String(limit) };
  }

  private static describeLoad({
    running, slots, slowness, isMute,
  }: FakeTarget): Record<string, string> {
    if (isMute === true) return {};
    return {
      load: JSON.stringify({
        running, waiting: 0, slots, slowness,
      }),
    };
  }
}
