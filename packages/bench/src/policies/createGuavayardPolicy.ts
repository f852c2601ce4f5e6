import type Candidate from '@guavayard/core/routing/Candidate';
import defaultOptions from '@guavayard/core/scheduling/defaultOptions';
import LoadAwareScheduler from '@guavayard/core/scheduling/LoadAwareScheduler';
import type SchedulingOptions from '@guavayard/core/scheduling/SchedulingOptions';

import type BenchEntryPlace from '../BenchEntryPlace';
import type EntryPolicy from '../EntryPolicy';
import type Fleet from '../Fleet';
import type Policy from '../Policy';
import type GuavayardVariant from './GuavayardVariant';

function createEntry(
  fleet: Fleet,
  place: BenchEntryPlace,
  index: number,
  options: SchedulingOptions,
  variant: GuavayardVariant,
): EntryPolicy {
  const cache = new Map<string, readonly Candidate[]>();
  let generation = 0;
  const scheduler: LoadAwareScheduler = new LoadAwareScheduler({
    entryName: place.name,
    clock: () => fleet.clock.nowMs,
    random: fleet.createRandom(5000 + index),
    listener: { onWarm: ({ id }) => fleet.announce(id, { state: 'ready' }) },
    findCandidates: ({ match: { serviceName } }) => {
      if (generation !== fleet.generation) {
        generation = fleet.generation;
        cache.clear();
        scheduler.observeConfiguration(fleet.configurationOf(place));
      }
      const known = cache.get(serviceName) ?? fleet.candidatesOf(place, serviceName);
      cache.set(serviceName, known);
      return known;
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
 * Makes the policy that ships, or a variant of it.
 *
 * @param name - name in the table
 * @param variant - what is left out
 * @param options - what differs from the default tuning
 * @returns the policy
 */
export default function createGuavayardPolicy(
  name = 'guavayard',
  variant: GuavayardVariant = {},
  options: Partial<SchedulingOptions> = {},
): Policy {
  return {
    name,
    create: (fleet, places) => places.map((place, index) => (
      createEntry(fleet, place, index, { ...defaultOptions, ...options }, variant)
    )),
  };
}
