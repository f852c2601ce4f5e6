import { performance } from 'node:perf_hooks';

import { Err, Ok, type Result } from 'ts-results';

import CallerListener from '@guavayard/caller/CallerListener';
import RequestHandler from '@guavayard/caller/RequestHandler';
import LeastInFlightChooser from '@guavayard/core/choice/LeastInFlightChooser';
import findCandidates from '@guavayard/core/routing/findCandidates';
import DirectScheduler from '@guavayard/core/scheduling/DirectScheduler';
import PlatformListener from '@guavayard/platform/PlatformListener';
import AnnouncementListener from '@guavayard/target/AnnouncementListener';
import type TargetDirectory from '@guavayard/target/TargetDirectory';
import UndiciTargetSender from '@guavayard/target/UndiciTargetSender';
import ControlSubscription from '@guavayard/vm/entry/ControlSubscription';

import closeServer from './closeServer';
import createTargetTasks from './createTargetTasks';
import listen from './listen';
import type RunContext from './RunContext';
import type Runnable from './Runnable';
import type TargetTasks from './TargetTasks';

function clock(): number {
  return performance.now();
}

function createSubscription(
  context: RunContext,
  targets: TargetTasks,
): ControlSubscription {
  return new ControlSubscription({
    onConfiguration: ({ version, configuration }) => {
      context.log.info({ version }, 'configuration in force');
      targets.ownership.takeConfiguration(configuration);
    },
    onMembership: (entries) => targets.updateMembership(entries),
  });
}

function createScheduler(
  context: RunContext,
  subscription: ControlSubscription,
  directory: TargetDirectory,
): DirectScheduler {
  return new DirectScheduler(({ match }) => {
    const configuration = subscription.latest?.configuration;
    if (configuration === undefined) return [];
    const targets = directory.targetsOf(match.serviceName);
    return findCandidates(configuration, targets, match, context.identity);
  }, (countInFlight) => new LeastInFlightChooser(countInFlight));
}

/**
 * Starts the entry role.
 *
 * @param context - settings, identity, sessions and log
 * @returns the running role, or why it cannot start
 */
export default async function startEntry(context: RunContext): Promise<Result<Runnable, string>> {
  const {
    settings, identity, hub, log,
  } = context;
  if (settings.caller === undefined || settings.target === undefined) {
    return Err('role "entry" needs the sections [caller] and [target]');
  }
  const sender = new UndiciTargetSender();
  const targets = createTargetTasks(context, clock);
  const { directory } = targets;
  const subscription = createSubscription(context, targets);
  const handler = new RequestHandler({
    clock,
    scheduler: createScheduler(context, subscription, directory),
    sender,
    configuration: () => subscription.latest,
  });
  let isStopping = false;
  const caller = new CallerListener(handler);
  const target = new AnnouncementListener(directory);
  const platform = new PlatformListener(() => subscription.latest !== undefined && !isStopping);
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
  settings.vm.control.forEach((address) => hub.connect(address));
  return Ok({
    stop: async () => {
      isStopping = true;
      targets.releaseOwnership();
      await Promise.all([closeServer(caller.server), closeServer(target.server)]);
      await sender.close();
      targets.stop();
      await closeServer(platform.server);
    },
  });
}
