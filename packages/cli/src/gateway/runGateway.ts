import { stat } from 'node:fs/promises';

import { createLogger } from 'bunyan';
import { Err, Ok, type Result } from 'ts-results';

import deriveResourceLimits from '@guavayard/core/limits/deriveResourceLimits';
import ResourceAccount from '@guavayard/core/limits/ResourceAccount';
import splitHostPort from '@guavayard/core/utils/splitHostPort';
import createStartId from '@guavayard/vm/session/createStartId';
import protocolVersion from '@guavayard/vm/session/protocolVersion';
import VmHub from '@guavayard/vm/session/VmHub';
import type TlsTransport from '@guavayard/vm/session/TlsTransport';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';

import buildId from '../buildId';
import ErrorBoundary from '../run/ErrorBoundary';
import type StopSignal from '../run/StopSignal';
import type GatewaySettings from '../settings/GatewaySettings';
import readGatewaySettings from '../settings/readGatewaySettings';
import readWhenWhole from '../settings/readWhenWhole';
import BoundedLogStream from './BoundedLogStream';
import GarbageWatch from './GarbageWatch';
import type GatewayContext from './GatewayContext';
import type GatewayRole from './GatewayRole';
import ListenerGroup from './ListenerGroup';
import openTransport from './openTransport';
import readSessionKey from './readSessionKey';

/** Interval at which the settings file and the certificates are checked for changes, in ms. */
const SETTINGS_CHECK_INTERVAL_MS = 5000;

function createIdentity({ vm, entry, control }: GatewaySettings): VmIdentity {
  return {
    name: vm.ip,
    region: vm.region,
    dataCentre: vm.dataCentre,
    roles: [
      ...(entry === undefined ? [] : ['entry' as const]),
      ...(control === undefined ? [] : ['control' as const]),
    ],
    address: `${vm.ip}:${vm.sessionPort}`,
    startId: createStartId(),
  };
}

function listSeedAddresses({ vm }: GatewaySettings): string[] {
  return vm.seeds.map((seed) => `${splitHostPort(seed).host}:${vm.sessionPort}`);
}

async function startRoles(context: GatewayContext): Promise<Result<GatewayRole[], string>> {
  const { entry, control } = context.settings;
  const roles: GatewayRole[] = [];
  // Roles are imported on demand, so that a VM loads only what it runs and starts faster.
  if (control !== undefined) {
    const { default: startRegistry } = await import('./startRegistry');
    const started = await startRegistry(context, control.folder, control.listen);
    if (started.err) return started;
    roles.push(started.val);
  }
  if (entry !== undefined) {
    const { default: startGateway } = await import('./startGateway');
    const started = await startGateway(context, entry.callers, entry.readiness);
    if (started.err) return started;
    roles.push(started.val);
  }
  return roles.length === 0 ? Err('the settings define no role') : Ok(roles);
}

async function serveMetrics(
  {
    settings, errors, hub, listeners, account,
  }: GatewayContext,
  roles: readonly GatewayRole[],
): Promise<void> {
  const [role] = roles;
  if (settings.metrics === undefined || role === undefined) return;
  // Imported last, because serving requests does not depend on the metrics.
  const { default: GatewayMetrics } = await import('@guavayard/metrics/GatewayMetrics');
  const metrics = new GatewayMetrics(() => ({
    ...role.readGauges(),
    errors: errors.count,
    unboundListeners: listeners.waitingCount,
    sharedProtocolVersion: hub.sharedProtocolVersion,
    held: account.listHeld(),
    heldLimitBytes: account.limitBytes,
    evictions: account.evictedCount,
    refusedReservations: account.refusedCount,
  }), buildId);
  roles.forEach(({ attachMetrics }) => attachMetrics?.(metrics));
  listeners.bindOptional(metrics.server, settings.metrics.listen, 'metrics');
}

/** Changes whenever one of the files has been written. */
async function readChangeTimes(paths: readonly string[]): Promise<string> {
  const times = await Promise.all(paths.map(async (path) => (await stat(path)).mtimeMs));
  return times.join();
}

function watchSettings(
  path: string,
  { settings: { vm }, seeds, log }: GatewayContext,
  transport: TlsTransport | undefined,
): void {
  const paths = [path, ...Object.values(vm.tls ?? {})];
  let changeTimes: string | undefined;
  const reload = async (): Promise<void> => {
    transport?.reload();
    const settings = await readGatewaySettings(path);
    if (settings.err) {
      log.warn({ reason: settings.val }, 'settings are not reloaded');
      return;
    }
    const next = listSeedAddresses(settings.val);
    if (next.join() === seeds.join()) return;
    seeds.splice(0, seeds.length, ...next);
    log.info({ seeds }, 'settings reloaded');
  };
  const check = async (): Promise<void> => {
    const times = await readChangeTimes(paths);
    if (times === changeTimes) return;
    // The first time, too: the files may have changed since the start read them.
    changeTimes = times;
    await reload();
  };
  const report = (err: Error): void => log.warn({ reason: err.message }, 'settings or certificates cannot be read');
  process.on('SIGHUP', () => {
    reload().catch(report);
  });
  setInterval(() => {
    check().catch(report);
  }, SETTINGS_CHECK_INTERVAL_MS).unref();
}

/**
 * Starts the roles of a VM in declared mode.
 *
 * @param path - path of the settings file
 * @param settings - the parsed contents of that file
 * @param stop - told as soon as the VM may have accepted something
 * @returns the running VM, or the reason why it cannot start
 */
export default async function runGateway(
  path: string,
  settings: GatewaySettings,
  stop: StopSignal,
): Promise<Result<Pick<GatewayRole, 'stop'>, string>> {
  const identity = createIdentity(settings);
  const stream = new BoundedLogStream();
  const log = createLogger({
    name: 'guavayard', vm: settings.vm.label, level: settings.log.level, streams: [{ stream: stream as unknown as NodeJS.WritableStream, type: 'stream', level: settings.log.level }],
  });
  const errors = new ErrorBoundary(log);
  const warn = (reason: string): void => log.warn({ reason }, 'key or certificates cannot be read yet');
  const sessionKey = await readWhenWhole(async () => readSessionKey(settings, process.env), warn);
  if (sessionKey.err) return sessionKey;
  const transport = await readWhenWhole(async () => openTransport(settings), warn);
  if (transport.err) return transport;
  if (sessionKey.val.isPublic && transport.val === undefined) {
    log.warn('no session key and no TLS: anyone who reaches the session port is a member');
  }
  const hub = new VmHub(sessionKey.val.key, identity, {
    transport: transport.val, log, onError: (err) => errors.report(err, 'session'),
  });
  const listeners = new ListenerGroup(log, () => stop.startServing());
  const { memoryMb } = settings.vm;
  const garbage = memoryMb === undefined ? undefined : new GarbageWatch(memoryMb);
  const { bytes, connections } = deriveResourceLimits(settings.vm);
  const account = new ResourceAccount(bytes, () => performance.now(), () => garbage?.check());
  const context: GatewayContext = {
    settings,
    account,
    connections,
    identity,
    hub,
    log,
    errors,
    listeners,
    seeds: listSeedAddresses(settings),
  };
  if (settings.control !== undefined) {
    // A second process of this VM must not open the data folder while the first one writes to it.
    const free = await listeners.awaitFree(identity.address, 'sessions');
    if (free.err) return free;
  }
  const roles = await startRoles(context);
  if (roles.err) return roles;
  // Accepts sessions only after the roles have registered their message handlers.
  const bound = await listeners.bind(hub.netServer, identity.address, 'sessions');
  if (bound.err) return bound;
  // Until here, an exception ends the process, as a VM that has not started serves nothing.
  errors.install();
  watchSettings(path, context, transport.val);
  await serveMetrics(context, roles.val);
  stop.startServing();
  log.info({
    build: buildId,
    messages: protocolVersion,
    roles: identity.roles,
    firstStart: settings.vm.isFirstStart,
    uptimeMs: Math.round(performance.now()),
  }, 'started');
  stream.flush();
  return Ok({
    stop: async () => {
      log.info('stopping');
      listeners.close();
      await Promise.all(roles.val.map(async (role) => role.stop()));
      hub.close();
      log.info('stopped');
      stream.flush();
    },
  });
}
