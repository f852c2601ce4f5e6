import { performance } from 'node:perf_hooks';

import { Err, Ok, type Result } from 'ts-results';

import CallerListener from '@guavayard/caller/CallerListener';
import RequestHandler from '@guavayard/caller/RequestHandler';
import LeastInFlightChooser from '@guavayard/core/choice/LeastInFlightChooser';
import PlatformListener from '@guavayard/platform/PlatformListener';
import AnnouncementListener from '@guavayard/target/AnnouncementListener';
import TargetDirectory from '@guavayard/target/TargetDirectory';
import UndiciTargetSender from '@guavayard/target/UndiciTargetSender';
import ConfigurationSubscription from '@guavayard/vm/entry/ConfigurationSubscription';
import VmConnector from '@guavayard/vm/session/VmConnector';

import splitHostPort from '../settings/splitHostPort';
import closeServer from './closeServer';
import listen from './listen';
import type RunContext from './RunContext';
import type Runnable from './Runnable';

const EXPIRY_INTERVAL_MS = 100;

function connectToControl(
  context: RunContext,
  subscription: ConfigurationSubscription,
): VmConnector[] {
  return context.settings.vm.control.map((address) => {
    const { host, port } = splitHostPort(address);
    const connector = new VmConnector(host, port, context.key, context.identity, subscription);
    connector.start();
    return connector;
  });
}

/**
 * Starts the entry role.
 *
 * @param context - settings, identity, key and log
 * @returns the running role, or why it cannot start
 */
export default async function startEntry(context: RunContext): Promise<Result<Runnable, string>> {
  const { settings, identity, log } = context;
  if (settings.caller === undefined || settings.target === undefined) {
    return Err('role "entry" needs the sections [caller] and [target]');
  }
  const directory = new TargetDirectory(() => performance.now());
  const sender = new UndiciTargetSender();
  const subscription = new ConfigurationSubscription((latest) => {
    log.info({ version: latest.version }, 'configuration in force');
  });
  const handler = new RequestHandler({
    locality: identity,
    chooser: new LeastInFlightChooser((targetId) => sender.countInFlight(targetId)),
    sender,
    configuration: () => subscription.latest,
    targetsOf: (service) => directory.targetsOf(service),
  });
  let isStopping = false;
  const caller = new CallerListener(handler);
  const target = new AnnouncementListener(directory);
  const platform = new PlatformListener(() => subscription.latest !== undefined && !isStopping);
  const callerBound = await listen(caller.server, settings.caller.listen, 'caller', log);
  if (callerBound.err) return callerBound;
  const targetBound = await listen(target.server, settings.target.listen, 'target', log);
  if (targetBound.err) return targetBound;
  if (settings.platform !== undefined) {
    const platformBound = await listen(platform.server, settings.platform.listen, 'platform', log);
    if (platformBound.err) return platformBound;
  }
  const connectors = connectToControl(context, subscription);
  const expiry = setInterval(() => directory.expire(), EXPIRY_INTERVAL_MS);
  return Ok({
    stop: async () => {
      isStopping = true;
      clearInterval(expiry);
      await Promise.all([closeServer(caller.server), closeServer(target.server)]);
      await sender.close();
      connectors.forEach((connector) => connector.close());
      await closeServer(platform.server);
    },
  });
}
