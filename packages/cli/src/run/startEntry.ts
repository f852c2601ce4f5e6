import { setTimeout as sleep } from 'node:timers/promises';

import { Err, Ok, type Result } from 'ts-results';

import CallerListener from '@guavayard/caller/CallerListener';
import RequestHandler from '@guavayard/caller/RequestHandler';
import BalancerListener from '@guavayard/balancer/BalancerListener';
import AnnouncementListener from '@guavayard/target/AnnouncementListener';
import type Clock from '@guavayard/core/types/Clock';
import UndiciTargetSender from '@guavayard/target/UndiciTargetSender';
import ControlSubscription from '@guavayard/vm/entry/ControlSubscription';
import EntryLeaseRelay from '@guavayard/vm/entry/EntryLeaseRelay';
import type SubscriptionListener from '@guavayard/vm/entry/SubscriptionListener';

import closeServer from './closeServer';
import startTargetMonitoring from './startTargetMonitoring';
import createRequestObservers from './createRequestObservers';
import countTargets from './countTargets';
import createRelay from './createRelay';
import createVmClock from './createVmClock';
import createKeyTask from './createKeyTask';
import createScheduler from './createScheduler';
import createTargetTasks from './createTargetTasks';
import listen from './listen';
import type RunContext from './RunContext';
import type Stoppable from './Stoppable';
import type TargetTasks from './TargetTasks';

function createSubscription(
  context: RunContext,
  targets: TargetTasks,
  clock: Clock,
  onMembership: SubscriptionListener['onMembership'],
): ControlSubscription {
  return new ControlSubscription({
    hub: context.hub,
    identity: context.identity,
    clock,
    listener: {
      onConfiguration: ({ version, configuration }) => {
        context.log.info({ version }, 'configuration in force');
        targets.ownership.applyConfiguration(configuration);
      },
      onMembership: (entries, change) => {
        targets.updateMembership(entries);
        onMembership(entries, change);
      },
    },
  });
}

/**
 * Starts the entry role.
 *
 * @param context - settings, identity, sessions and log
 * @returns the running role, or the reason why it cannot start
 */
export default async function startEntry(context: RunContext): Promise<Result<Stoppable, string>> {
  const {
    settings, identity, hub, log,
  } = context;
  if (settings.caller === undefined || settings.target === undefined) {
    return Err('role "entry" requires the sections [caller] and [target]');
  }
  const sender = new UndiciTargetSender();
  // Leases, ownership and limits that were granted before a suspend run out during it.
  const clock = createVmClock();
  const targets = createTargetTasks(context, clock);
  const { directory } = targets;
  const idempotency = createKeyTask(context, clock);
  const subscription = createSubscription(context, targets, clock, idempotency.update);
  idempotency.attach(() => subscription.latest);
  const observers = createRequestObservers(context, clock, () => subscription.latest);
  const scheduler = createScheduler(context, subscription, directory, {
    onWarm: (warm) => {
      log.info({ target: warm.id }, 'target is warm');
      directory.declareWarm(warm);
    },
  }, clock);
  const monitoring = startTargetMonitoring(context, targets, subscription, scheduler, clock);
  const handler = new RequestHandler({
    ...observers,
    clock,
    scheduler,
    sender,
    keys: idempotency.task,
    relay: createRelay(identity, context.key, () => subscription.entries),
    configuration: () => subscription.latest,
  });
  let isStopping = false;
  const caller = new CallerListener(handler, { onError: (err) => context.errors.report(err, 'request') });
  const target = new AnnouncementListener(directory);
  const platform = new BalancerListener(() => subscription.latest !== undefined && !isStopping);
  const callerBound = await listen(caller.server, settings.caller.listen, 'caller', log);
  if (callerBound.err) return callerBound;
  identity.callerAddress = callerBound.val;
  const targetBound = await listen(target.server, settings.target.listen, 'target', log);
  if (targetBound.err) return targetBound;
  if (settings.platform !== undefined) {
    const platformBound = await listen(platform.server, settings.platform.listen, 'platform', log);
    if (platformBound.err) return platformBound;
  }
  hub.addHandler(subscription);
  if (!identity.roles.includes('control')) hub.addHandler(new EntryLeaseRelay(hub, clock));
  context.reports.provide({
    entry: () => ({
      hasLease: subscription.latest !== undefined,
      isReady: subscription.latest !== undefined && !isStopping,
      ...countTargets(directory.all(), identity.name),
      invariants: observers.dispatchCheck.counts,
      measuring: monitoring.cost(),
    }),
  });
  settings.vm.control.forEach((address) => hub.connect(address));
  return Ok({
    stop: async () => {
      isStopping = true;
      caller.startDraining();
      log.info('not ready any more');
      await sleep(settings.platform?.noticeMs ?? 0);
      targets.releaseOwnership();
      await Promise.all([caller.stop(), closeServer(target.server)]);
      await monitoring.stop();
      await sender.close();
      idempotency.task.close();
      targets.stop();
      subscription.release();
      await closeServer(platform.server);
    },
  });
}
