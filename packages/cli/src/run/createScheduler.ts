import findCandidates from '@guavayard/core/routing/findCandidates';
import LoadAwareScheduler from '@guavayard/core/scheduling/LoadAwareScheduler';
import type SchedulerListener from '@guavayard/core/scheduling/SchedulerListener';
import type Clock from '@guavayard/core/types/Clock';
import type TargetDirectory from '@guavayard/target/TargetDirectory';
import type ControlSubscription from '@guavayard/vm/entry/ControlSubscription';

import type RunContext from './RunContext';

/**
 * Creates the entry's scheduler. The caller has to call its `tick` every few milliseconds.
 *
 * @param context - settings, identity, sessions and log
 * @param subscription - the configuration in force
 * @param directory - the directory of targets
 * @param listener - notified when a cold target becomes warm
 * @param clock - monotonic clock, in milliseconds
 * @returns the scheduler, which also shares load with the other entries of the region
 */
export default function createScheduler(
  context: RunContext,
  subscription: ControlSubscription,
  directory: TargetDirectory,
  listener: SchedulerListener,
  clock: Clock,
): LoadAwareScheduler {
  const scheduler = new LoadAwareScheduler({
    entryName: context.identity.name,
    clock,
    random: Math.random,
    listener,
    findCandidates: ({ match }) => {
      const configuration = subscription.latest?.configuration;
      if (configuration === undefined) return [];
      const targets = directory.targetsOf(match.serviceName);
      return findCandidates(configuration, targets, match, context.identity);
    },
  });
  // Each version counts: a data centre may leave and return between two requests.
  subscription.observe(({ configuration }) => scheduler.observeConfiguration(configuration));
  return scheduler;
}
