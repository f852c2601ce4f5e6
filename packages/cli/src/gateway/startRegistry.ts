import { performance } from 'node:perf_hooks';

import { Ok, type Result } from 'ts-results';

import ControlApi from '@guavayard/platform/ControlApi';
import createEntrySource from '@guavayard/platform/createEntrySource';
import readTenantTable from '@guavayard/core/tenants/readTenantTable';
import RegistryTask from '@guavayard/vm/registry/RegistryTask';
import QuotaControlTask from '@guavayard/vm/quota/QuotaControlTask';
import splitHostPort from '@guavayard/core/utils/splitHostPort';

import closeServer from '../run/closeServer';
import createVmClock from '../run/createVmClock';
import createQuotaRule from '../settings/createQuotaRule';
import awaitReplica from './awaitReplica';
import createTenantReader from './createTenantReader';
import type GatewayContext from './GatewayContext';
import type GatewayRole from './GatewayRole';

const MS_PER_SECOND = 1000;
/** Number of missed heartbeats after which a target is considered gone. */
const MAX_MISSED_HEARTBEATS = 5;
/** Delay before the process exits after its replica has failed, in milliseconds. */
const FAILURE_PAUSE_MS = 3000;

/**
 * Starts the control role.
 *
 * @param context - settings, identity, sessions and log
 * @param folderPath - path of the data folder
 * @param address - address of the API for operators and targets
 * @returns the running role, or the reason why it cannot start
 */
export default async function startRegistry(
  context: GatewayContext,
  folderPath: string,
  address: string,
): Promise<Result<GatewayRole, string>> {
  const {
    settings, identity, hub, log, seeds, listeners,
  } = context;
  const { bounds, vm, rollout } = settings;
  const opened = await awaitReplica({
    path: folderPath,
    vmName: identity.name,
    initialVoters: vm.isFirstStart ? vm.seeds.map((seed) => splitHostPort(seed).host) : [],
    log,
    awaitOthers: async () => listeners.awaitFree(identity.address, 'sessions'),
  });
  if (opened.err) return opened;
  const { replica, durable, log: store } = opened.val;
  log.info({ replica, term: durable.term, entries: durable.log.length }, 'data folder opened');
  const task = new RegistryTask({
    replica,
    durable,
    store,
    hub,
    identity,
    log,
    seeds,
    clock: () => performance.now(),
    elapsedClock: createVmClock(),
    random: Math.random,
    requiredVoters: 2 * bounds.lostVms + 1,
    targetTimeoutMs: MAX_MISSED_HEARTBEATS * bounds.targetHeartbeatSeconds * MS_PER_SECOND,
    dataCentres: new Set(Object.keys(settings.regions)),
    timeOfDay: Date.now,
    createEntrySource,
    rollout,
    onFailure: (err) => {
      log.fatal({ err }, 'the replica has failed; exiting to replay its log');
      task.close();
      setTimeout(() => process.exit(1), FAILURE_PAUSE_MS);
    },
  });
  task.start();
  const rule = createQuotaRule(settings);
  const quotas = rule === undefined ? undefined : new QuotaControlTask({
    hub,
    rule,
    tenants: createTenantReader(() => task.declaration, (source) => (
      readTenantTable(createEntrySource(source))?.tenants ?? [])),
    clock: createVmClock(),
  });
  // After the registry, so that an entry gets its view before the shares.
  if (quotas !== undefined) hub.addHandler(quotas);
  const api = new ControlApi(task, settings.regions, splitHostPort(address).port, {
    account: context.account, connections: context.connections,
  });
  const bound = await listeners.bind(api.server, address, 'control');
  if (bound.err) return bound;
  return Ok({
    readGauges: () => ({
      waiting: 0,
      probes: 0,
      unwrittenProbes: 0,
      unansweredProbes: 0,
      targets: task.targetCount,
      limitedTargets: 0,
      unreachableServices: 0,
      sharingEntries: 0,
      refusedRetries: 0,
      keys: 0,
      refusedKeys: 0,
      unprovenKeys: 0,
      quotaAsked: 0,
      quotaRefused: 0,
      quotaLimitedTenants: quotas?.limitedCount ?? 0,
      version: task.version,
      runningRollouts: task.rolloutCount,
      rolloutSends: 0,
      isCurrent: task.isCurrent,
      leaderSilenceMs: task.leaderSilenceMs,
      silentMembers: task.silentMemberCount,
      pendingWriteMs: task.pendingWriteMs,
    }),
    stop: async () => {
      // At once, so that a caller that holds up the one cannot keep the other from happening.
      await Promise.all([closeServer(api.server), task.leave()]);
      task.close();
      quotas?.close();
    },
  });
}
