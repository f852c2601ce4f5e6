import type Candidate from '@guavayard/core/routing/Candidate';
import defaultOptions from '@guavayard/core/scheduling/defaultOptions';
import LoadAwareScheduler from '@guavayard/core/scheduling/LoadAwareScheduler';
import type SchedulingOptions from '@guavayard/core/scheduling/SchedulingOptions';

import type BenchEntryLocation from '../BenchEntryLocation';
import type EntryPolicy from '../EntryPolicy';
import type Fleet from '../Fleet';
import type Policy from '../Policy';
import type GuavayardVariant from './GuavayardVariant';

function createEntryPolicy(
  fleet: Fleet,
  location: BenchEntryLocation,
  index: number,
  options: SchedulingOptions,
  variant: GuavayardVariant,
): EntryPolicy {
  const cache = new Map<string, readonly Candidate[]>();
  let generation = 0;
  const scheduler: LoadAwareScheduler = new LoadAwareScheduler({
    entryName: location.name,
    clock: () => fleet.clock.nowMs,
    random: fleet.createRandom(5000 + index),
    listener: { onWarm: ({ id }) => fleet.announce(id, { state: 'ready' }) },
    findCandidates: ({ match: { serviceName } }) => {
      if (generation !== fleet.generation) {
        generation = fleet.generation;
        cache.clear();
        scheduler.observeConfiguration(fleet.configurationOf(location));
      }
      const cached = cache.get(serviceName) ?? fleet.candidatesOf(location, serviceName);
      cache.set(serviceName, cached);
      return cached;
    },
  }, options);
  return {
    scheduler,
    sharing: variant.shares === false ? undefined : scheduler,
    tick: () => scheduler.tick(),
    hedges: variant.hedges !== false,
  };
}

/**
 * Creates the production policy or a variant of it.
 *
 * @param name - name of the policy in the results
 * @param variant - features to switch off
 * @param options - overrides of the default options
 * @returns the policy
 */
export default function createGuavayardPolicy(
  name = 'guavayard',
  variant: GuavayardVariant = {},
  options: Partial<SchedulingOptions> = {},
): Policy {
  return {
    name,
    create: (fleet, locations) => locations.map((location, index) => (
      createEntryPolicy(fleet, location, index, { ...defaultOptions, ...options }, variant)
    )),
  };
}
