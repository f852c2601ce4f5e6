import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

import { Ok, type Result } from 'ts-results';

import CallerListener from '@guavayard/caller/CallerListener';
import defaultLimits from '@guavayard/caller/defaultLimits';
import SharedByteBudget from '@guavayard/core/limits/SharedByteBudget';
import CrashWatch from '@guavayard/gateway/CrashWatch';
import GatewayHandler from '@guavayard/gateway/GatewayHandler';
import KeyGate from '@guavayard/gateway/KeyGate';
import Placement from '@guavayard/gateway/Placement';
import QuotaGate from '@guavayard/gateway/QuotaGate';
import RelayAdmission from '@guavayard/gateway/RelayAdmission';
import RequestLog from '@guavayard/gateway/RequestLog';
import TargetPool from '@guavayard/gateway/TargetPool';
import TargetProber from '@guavayard/gateway/TargetProber';
import TenantSource from '@guavayard/gateway/TenantSource';
import PlatformDialect from '@guavayard/platform/PlatformDialect';
import ReadinessApi from '@guavayard/platform/ReadinessApi';
import UndiciTargetSender from '@guavayard/target/UndiciTargetSender';
import CurrencyClient from '@guavayard/vm/registry/CurrencyClient';
import QuotaEntryTask from '@guavayard/vm/quota/QuotaEntryTask';
import RegistrySubscription from '@guavayard/vm/registry/RegistrySubscription';
import RelayClient from '@guavayard/vm/relay/RelayClient';
import RelayServer from '@guavayard/vm/relay/RelayServer';
import RolloutReporter from '@guavayard/vm/rollouts/RolloutReporter';

import createVmClock from '../run/createVmClock';
import createQuotaRule from '../settings/createQuotaRule';
import type GatewayContext from './GatewayContext';
import type GatewayRole from './GatewayRole';
import warmUpRequestPath from './warmUpRequestPath';

const MS_PER_SECOND = 1000;
/** Response bytes that are buffered at most, which leaves a VM of 250 MB the rest of its memory. */
const RESPONSE_BUFFER_BYTES = 32 * 1024 * 1024;
/** Bytes of bodies that are read at most while their requests wait for a target. */
const REQUEST_BUFFER_BYTES = 16 * 1024 * 1024;
/**
 * Keep-alive timeout in milliseconds of connections to targets that announce none. A probe right
 * before each request checks whether the connection still works.
 */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
/** Interval at which idle connections to targets are checked, in milliseconds. */
const KEEP_ALIVE_CHECK_INTERVAL_MS = 1000;
/** Milliseconds for which idle connections of callers stay open beyond the declared timeout. */
const IDLE_TIMEOUT_MARGIN_MS = 1000;
/** Milliseconds before the end of the grace period at which the process ends. */
const GRACE_MARGIN_MS = 200;
/**
 * Milliseconds before the end of the process at which requests without a response get a failure,
 * so that their callers can receive it.
 */
const END_MARGIN_MS = 150;
/**
 * Share of the grace period in which new requests are still accepted. The platform's balancer polls
 * readiness once a second and removes the entry after two failures; requests that arrive later on
 * open connections would not finish in time.
 */
const ACCEPTING_SHARE = 0.55;

/**
 * Longest time after the start of a stop in which requests are accepted that may outlast it, in
 * milliseconds: until then the balancer may still send new connections.
 */
const ACCEPTS_ALL_MS = 2500;
/** Upper bound of that time as a share of the grace period. */
const ACCEPTS_ALL_SHARE = 0.4;

/** Share of the time to take a version back after which an entry without control does so. */
const CONTACT_SHARE = 0.5;
/** Time to take a version back where the settings have none, as after they were removed. */
const DEFAULT_ROLLBACK_SECONDS = 5;

function clock(): number {
  return performance.now();
}

/**
 * Starts the entry role.
 *
 * @param context - settings, identity, sessions and log
 * @param callersAddress - address of the listener for callers
 * @param readinessAddress - address of the platform's readiness endpoint
 * @returns the running role, or the reason why it cannot start
 */
export default async function startGateway(
  context: GatewayContext,
  callersAddress: string,
  readinessAddress: string,
): Promise<Result<GatewayRole, string>> {
  const {
    settings, identity, hub, log, errors, seeds, listeners,
  } = context;
  const {
    bounds, hedging, regions, rollout,
  } = settings;
  const { account, connections } = context;
  const sender = new UndiciTargetSender({
    keepAliveTimeoutMs: KEEP_ALIVE_TIMEOUT_MS,
    localAddress: settings.vm.bindsToIp ? settings.vm.ip : undefined,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called only on a request
    onOpened: (address, isWorking) => pool.paths.connections.record(address, isWorking),
  });
  const dialect = new PlatformDialect();
  const pool: TargetPool = new TargetPool({
    clock,
    elapsedClock: createVmClock(),
    random: Math.random,
    log,
    location: { name: identity.name, region: identity.region },
    regionOf: (dataCentre) => regions[dataCentre] ?? '',
    coldBurstFactor: bounds.coldBurstFactor,
    coldSlack: bounds.coldSlack,
    contactTimeoutMs: CONTACT_SHARE * MS_PER_SECOND
      * (rollout?.rollbackSeconds ?? DEFAULT_ROLLBACK_SECONDS),
    shareWindowMs: bounds.retryWindowSeconds * MS_PER_SECOND,
    onTargetRemoved: (address) => sender.closeConnections(address),
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called only on a response
    shareLimit: (notice) => subscription.shareLimit(notice),
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called only on a response
    reportLeaving: (targetId, bornAtMs) => subscription.reportLeaving(targetId, bornAtMs),
    defer: setImmediate,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called only on a probe
    onSilence: () => prober.startVerifying(),
    countReady: (address) => sender.countReady(address),
    mayOpen: (address) => sender.mayOpen(address),
  });
  const prober = new TargetProber({
    clock, log, sender, dialect, pool, probesPerSecond: bounds.probesPerSecond,
  });
  const placement = new Placement({
    clock,
    random: Math.random,
    pool,
    prober,
    retryRatio: bounds.retryRatio,
    retrySlack: bounds.retrySlack,
    retryWindowMs: bounds.retryWindowSeconds * MS_PER_SECOND,
    // At the first start of the system, no earlier process has retried anything.
    startedAtMs: settings.vm.isFirstStart ? -Infinity : clock(),
    hedgeShare: hedging.share,
  });
  const crashes = new CrashWatch({
    clock,
    log,
    pool,
    prober,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called only on a crash
    report: (fingerprint, targetId) => subscription.reportCrash(fingerprint, targetId),
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called only on a response
    reportAnswered: (fingerprint) => subscription.reportAnswered(fingerprint),
  });
  const tenants = new TenantSource();
  const currency = settings.revocation === undefined ? undefined
    : new CurrencyClient(settings.revocation.seconds * MS_PER_SECOND, createVmClock());
  const rule = createQuotaRule(settings);
  const quotaTask = rule === undefined ? undefined : new QuotaEntryTask({
    hub, entryName: identity.name, rule, clock: createVmClock(), random: Math.random,
  });
  const quotas = quotaTask === undefined ? undefined : new QuotaGate(quotaTask);
  const subscription: RegistrySubscription = new RegistrySubscription({
    hub,
    identity,
    seeds,
    clock,
    currency,
    listener: {
      onChange: () => {
        const {
          declaration, evacuated, targets, rollouts,
        } = subscription;
        tenants.update(declaration);
        pool.versions.update(rollouts);
        pool.update(declaration, evacuated, targets);
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- set by then
        reporter.update();
        if (declaration === undefined) return;
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- set by then
        caller.server.keepAliveTimeout = declaration.limits.idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS;
      },
      onContact: () => {
        pool.share.recordContact(clock());
        quotaTask?.recordContact();
        pool.versions.recordContact();
      },
      onRosterChange: ({ entries }) => {
        pool.setEntries(entries);
        quotaTask?.setEntries(entries.map(({ name }) => name));
      },
      onRequestLimits: (notices) => pool.recordLimitNotices(notices),
      onCrash: (fingerprint, targetId) => crashes.recordReportedCrash(fingerprint, targetId),
      onKnownCrashes: (fingerprint, count) => crashes.recordKnownCrashes(fingerprint, count),
      onRequestAnswered: (fingerprint) => crashes.recordReportedAnswer(fingerprint),
      onSourceChange: (control, reason) => {
        pool.setFollowing(control !== undefined);
        quotaTask?.setSource(control);
        log.info({ control, reason, version: subscription.declaration?.version }, 'control VM changed');
      },
    },
  });
  const keys = new KeyGate({
    dialect,
    directory: () => tenants.directory,
    isProven: () => currency?.isProven ?? true,
  });
  const reporter = new RolloutReporter({
    clock,
    name: identity.name,
    startId: identity.startId,
    list: () => pool.rolloutCounts,
    send: (message, sinceVersion) => subscription.report(message, sinceVersion),
  });
  const requestLog = new RequestLog(log, clock);
  const relay = new RelayClient({
    hub,
    identity,
    clock,
    entries: () => subscription.roster.entries,
    onRefusal: (entry, reason) => log.info({ entry, reason }, 'entry does not take a request'),
  });
  const handler = new GatewayHandler({
    clock,
    dialect,
    sender,
    pool,
    placement,
    prober,
    crashes,
    keys,
    log: requestLog,
    responseBytes: new SharedByteBudget(RESPONSE_BUFFER_BYTES, account, 'responses'),
    requestBytes: new SharedByteBudget(REQUEST_BUFFER_BYTES, account, 'waitingBodies'),
    relay,
    quotas,
    version: () => subscription.declaration?.version ?? 0,
  }, () => subscription.declaration);
  const caller = new CallerListener(handler, {
    limits: { ...defaultLimits, connections },
    account,
    onError: (err) => errors.report(err, 'request'),
  });
  const admission = new RelayAdmission({
    pool, prober, placement, version: () => subscription.declaration?.version,
  });
  const relayServer = new RelayServer({
    hub,
    decide: (service, version, respond) => admission.decide(service, version, respond),
    serve: (request) => handler.handleRelayed(request),
  });
  let isStopping = false;
  const readiness = new ReadinessApi(() => (
    subscription.declaration !== undefined && caller.server.listening && !isStopping));
  const callersBound = await listeners.bind(caller.server, callersAddress, 'callers');
  if (callersBound.err) return callersBound;
  const readinessBound = await listeners.bind(readiness.server, readinessAddress, 'readiness');
  if (readinessBound.err) return readinessBound;
  subscription.start();
  // While control is being reached, the processor is idle.
  warmUpRequestPath(settings.vm.ip).catch((err: unknown) => log.warn({ err }, 'request path is not warmed up'));
  if (quotaTask !== undefined) hub.addHandler(quotaTask);
  const keepAliveTimer = setInterval(
    () => {
      pool.observeTime();
      prober.keepConnectionsAlive();
      prober.verifyLimits();
    },
    KEEP_ALIVE_CHECK_INTERVAL_MS,
  );
  return Ok({
    readGauges: () => ({
      waiting: placement.waiting,
      probes: prober.count,
      unwrittenProbes: prober.outcomes.unwritten,
      unansweredProbes: prober.outcomes.unanswered,
      targets: pool.targetCount,
      limitedTargets: pool.limitedCount,
      unreachableServices: pool.paths.reachability.unreachableCount,
      sharingEntries: pool.share.findShare(clock())?.entryCount ?? 0,
      refusedRetries: placement.refusedRetries,
      keys: keys.keyCount,
      refusedKeys: keys.refusedCount,
      unprovenKeys: keys.unprovenCount,
      quotaAsked: quotas?.asked ?? 0,
      quotaRefused: quotas?.refused ?? 0,
      quotaLimitedTenants: quotaTask?.limitedCount ?? 0,
      runningRollouts: pool.versions.underWayCount,
      rolloutSends: pool.versions.sentCount,
      version: subscription.declaration?.version ?? 0,
      isCurrent: subscription.isFollowing,
      leaderSilenceMs: 0,
      silentMembers: 0,
      pendingWriteMs: 0,
    }),
    attachMetrics: (metrics) => {
      requestLog.observer = (line) => metrics.observe(line);
    },
    stop: async () => {
      const graceMs = bounds.graceSeconds * MS_PER_SECOND;
      const endsAtMs = clock() + graceMs - GRACE_MARGIN_MS - END_MARGIN_MS;
      handler.startStopping({
        acceptsAllUntilMs: clock() + Math.min(ACCEPTS_ALL_MS, graceMs * ACCEPTS_ALL_SHARE),
        endsAtMs,
      });
      isStopping = true;
      relayServer.startStopping();
      clearInterval(keepAliveTimer);
      caller.startDraining();
      log.info({ waiting: placement.waiting }, 'not ready any more');
      await sleep(graceMs * ACCEPTING_SHARE);
      const stopped = Promise.all([caller.stop(), relayServer.awaitIdle()]);
      await Promise.race([stopped, sleep(Math.max(0, endsAtMs - clock()))]);
      handler.endExchanges();
      await Promise.race([stopped, sleep(Math.max(0, endsAtMs + END_MARGIN_MS - clock()))]);
      caller.cutAllPartial();
      relay.close();
      quotaTask?.close();
    },
  });
}
