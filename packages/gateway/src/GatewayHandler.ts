import type { IncomingMessage, ServerResponse } from 'node:http';

import { Ok, type Result } from 'ts-results';

import checkFraming from '@guavayard/caller/checkFraming';
import ReplayableBody from '@guavayard/caller/ReplayableBody';
import type CallerReply from '@guavayard/core/dispatch/CallerReply';
import type InboundRequest from '@guavayard/core/dispatch/InboundRequest';
import fail from '@guavayard/core/errors/fail';
import type ErrorKind from '@guavayard/core/errors/ErrorKind';
import type Failure from '@guavayard/core/errors/Failure';
import matchDeclaredRoute from '@guavayard/core/placement/matchDeclaredRoute';
import mayFinishBeforeStop from '@guavayard/core/shutdown/mayFinishBeforeStop';
import type StopWindow from '@guavayard/core/shutdown/StopWindow';
import applyTenant from '@guavayard/core/tenants/applyTenant';
import WeightedRoundRobin from '@guavayard/core/placement/WeightedRoundRobin';
import type RelayedHead from '@guavayard/core/relay/RelayedHead';
import createFingerprint from '@guavayard/core/quarantine/createFingerprint';
import type Declaration from '@guavayard/core/registry/Declaration';
import type DeclaredRoute from '@guavayard/core/registry/DeclaredRoute';

import DirectReply from './DirectReply';
import GatewayExchange from './GatewayExchange';
import type GatewayRequest from './GatewayRequest';
import type ExchangeDependencies from './ExchangeDependencies';

/**
 * Retry delay for a caller that reached an entry without a declaration, in milliseconds. An entry
 * that has started receives the declaration within a few hundred milliseconds. Random jitter of up
 * to the same length spreads callers that were refused together.
 */
const RETRY_AFTER_MS = 300;
/**
 * Retry delay for a caller whose request was refused by an entry that stops, in milliseconds, with
 * jitter as above. It is short, because the caller reaches another entry.
 */
const STOPPING_RETRY_AFTER_MS = 30;
/**
 * Retry delay for a caller whose key this entry cannot confirm, in milliseconds, with jitter as
 * above. It is short, because most often other entries can.
 */
const UNPROVEN_RETRY_AFTER_MS = 30;
/** Retry delays by the reason of the refusal; other refusals send none. */
const RETRY_DELAYS: Partial<Record<ErrorKind, number>> = {
  noConfiguration: RETRY_AFTER_MS,
  shuttingDown: STOPPING_RETRY_AFTER_MS,
  keysUnproven: UNPROVEN_RETRY_AFTER_MS,
};

/** Where a relayed request comes from, and what the other entry tells of it. */
interface RelayOrigin {
  readonly head: RelayedHead;
  /** Name of the other entry. */
  readonly from: string;
}

interface RelayedRequest extends RelayOrigin {
  readonly req: InboundRequest;
  readonly reply: CallerReply;
}

/** Serves callers' requests according to the declaration in force. */
export default class GatewayHandler {
  private readonly split = new WeightedRoundRobin();

  private stop: StopWindow | undefined;

  /** Exchanges whose callers wait for a response. */
  private readonly exchanges = new Set<GatewayExchange>();

  /**
   * @param dependencies - the components of the entry that exchanges use
   * @param declaration - returns the declaration in force, undefined as long as none is known
   */
  constructor(
    private readonly dependencies: ExchangeDependencies,
    private readonly declaration: () => Declaration | undefined,
  ) {}

  /**
   * Serves a request. The response is eventually finished or destroyed in all cases.
   *
   * @param req - the caller's request
   * @param res - the caller's response
   */
  handle(req: IncomingMessage, res: ServerResponse): void {
    const { dialect } = this.dependencies;
    const { requestId } = dialect.readRequest(req);
    this.serve(req, new DirectReply(res, dialect, requestId));
  }

  /**
   * Refuses a request for which the process has no room; its body is not read.
   *
   * @param req - the caller's request
   * @param res - the caller's response, after which the connection is closed
   */
  refuse(req: IncomingMessage, res: ServerResponse): void {
    const { dialect, log } = this.dependencies;
    const { requestId } = dialect.readRequest(req);
    const failure: Failure = { kind: 'overloaded', detail: 'the process has no room for it' };
    const retryAfterMs = RETRY_AFTER_MS * (1 + Math.random());
    const { status, headers, body } = dialect
      .createFailureResponse(failure, requestId, retryAfterMs);
    res.writeHead(status, { ...headers, connection: 'close' });
    res.end(body);
    log.write({
      requestId, attempts: [], decision: failure.kind, detail: failure.detail, status, ms: 0,
    });
  }

  /**
   * Serves a request that another entry relays to this one.
   *
   * @param relayed - the request, the response and the name of the other entry
   */
  handleRelayed({ req, reply, ...relayed }: RelayedRequest): void {
    this.dependencies.prober.addBudget(relayed.head.probes);
    this.serve(req, reply, relayed);
  }

  private serve(req: InboundRequest, reply: CallerReply, relayed?: RelayOrigin): void {
    const request = this.accept(req, relayed);
    if (request.ok) {
      const quota = this.dependencies.quotas?.admit(request.val);
      if (quota?.err === true) {
        this.refuseBeforeStart(req, reply, quota.val.failure, quota.val.retryAfterMs, request.val);
        return;
      }
      const admitted = { ...request.val, quota: quota?.val };
      const exchange = new GatewayExchange(this.dependencies, admitted, reply);
      this.exchanges.add(exchange);
      reply.onClose(() => this.exchanges.delete(exchange));
      exchange.start();
      return;
    }
    const delayMs = RETRY_DELAYS[request.val.kind];
    const retryAfterMs = delayMs === undefined ? undefined : delayMs * (1 + Math.random());
    this.refuseBeforeStart(req, reply, request.val, retryAfterMs);
  }

  /** Refuses a request before an exchange has started, and logs why. */
  private refuseBeforeStart(
    req: InboundRequest,
    reply: CallerReply,
    failure: Failure,
    retryAfterMs: number | undefined,
    request?: GatewayRequest,
  ): void {
    const { requestId } = this.dependencies.dialect.readRequest(req);
    const status = reply.refuse(failure, retryAfterMs);
    this.dependencies.log.write({
      requestId,
      ...(request === undefined ? {} : {
        route: request.routeName,
        service: request.service,
        version: request.version,
        retryAfterMs: Math.round(retryAfterMs ?? 0),
      }),
      attempts: [],
      decision: failure.kind,
      detail: failure.detail,
      status,
      ms: 0,
    });
    new ReplayableBody(req, false).discard();
  }

  /** Refuses, from now on, requests that would outlast a planned stop. */
  startStopping(stop: StopWindow): void {
    this.stop = stop;
  }

  /** Responds to all requests that have no response yet, as the process is about to end. */
  endExchanges(): void {
    this.exchanges.forEach((exchange) => (
      exchange.endWithProcess(STOPPING_RETRY_AFTER_MS * (1 + Math.random()))));
  }

  /** Chooses the service of a request; the entry that relays it has chosen one of the route. */
  private chooseService(routeName: string, route: DeclaredRoute, relayed?: RelayOrigin): string {
    const chosen = route.backends.find(({ service }) => service === relayed?.head.service);
    // The route may have changed since the other entry matched the request.
    return chosen !== undefined && chosen.weight > 0
      ? chosen.service
      : this.split.next(routeName, route.backends);
  }

  private accept(req: InboundRequest, relayed?: RelayOrigin): Result<GatewayRequest, Failure> {
    const declaration = this.declaration();
    if (declaration === undefined) return fail('noConfiguration');
    const framing = checkFraming(req, declaration.limits.maxBodyBytes);
    if (framing.err) return framing;
    const { requestId, host, ...metadata } = this.dependencies.dialect.readRequest(req);
    const remainingMs = relayed?.head.remainingMs ?? metadata.remainingMs;
    if (requestId === undefined) return fail('malformedRequest', 'the request has no id');
    const path = req.url ?? '/';
    const match = matchDeclaredRoute(declaration, host, path);
    if (match === undefined) return fail('noRoute', `version ${declaration.version}`);
    const [routeName, declaredRoute] = match;
    const { keys } = this.dependencies;
    const tenant = keys.findTenant(req.rawHeaders, routeName);
    if (tenant.err) return tenant;
    const route = applyTenant(declaredRoute, tenant.val);
    if (route.homeRegions?.length === 0) {
      return fail('noTarget', 'no region is allowed for both the route and the tenant');
    }
    const method = req.method ?? 'GET';
    const fingerprint = createFingerprint({
      caller: req.socket.remoteAddress ?? '',
      method,
      host,
      path,
      bodyLength: req.headers['content-length'],
    });
    if (this.dependencies.crashes.isQuarantined(fingerprint)) {
      return fail('requestQuarantined', `fingerprint ${fingerprint}`);
    }
    const arrivedAtMs = this.dependencies.clock();
    const callerDeadlineMs = arrivedAtMs + (remainingMs ?? Infinity);
    const deadlineMs = Math.min(callerDeadlineMs, arrivedAtMs + route.timeoutMs);
    if (this.stop !== undefined && !mayFinishBeforeStop(this.stop, deadlineMs, arrivedAtMs)) {
      return fail('shuttingDown', 'the request may outlast the stop');
    }
    const service = this.chooseService(routeName, route, relayed);
    return Ok({
      req,
      requestId,
      fingerprint,
      method,
      path,
      routeName,
      route,
      tenant: tenant.val,
      service,
      // The entry that relays a request has counted it.
      isCanary: relayed === undefined && this.dependencies.pool.versions.choose(service),
      maxBodyBytes: declaration.limits.maxBodyBytes,
      version: declaration.version,
      arrivedAtMs,
      callerDeadlineMs,
      deadlineMs,
      relayedBy: relayed?.from,
      triedIds: relayed?.head.triedIds ?? [],
      permittedIds: relayed?.head.permittedIds ?? [],
    });
  }
}
