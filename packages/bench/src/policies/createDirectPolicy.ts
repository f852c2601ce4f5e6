import type TargetChooser from '@guavayard/core/choice/TargetChooser';
import type Candidate from '@guavayard/core/routing/Candidate';
import DirectScheduler from '@guavayard/core/scheduling/DirectScheduler';

import type BenchEntryLocation from '../BenchEntryLocation';
import type Fleet from '../Fleet';
import type Policy from '../Policy';
import type ChooserContext from './ChooserContext';
import ObservedLoads from './ObservedLoads';
import ObservedScheduler from './ObservedScheduler';

function findInRegion(fleet: Fleet, location: BenchEntryLocation, service: string): Candidate[] {
  return fleet.candidatesOf(location, service)
    .filter((candidate) => candidate.distance !== 'remote');
}

/**
 * Creates a policy that assigns requests immediately to targets of the entry's region, without
 * concurrency limits, queueing, load sharing or hedging.
 *
 * @param name - name of the policy in the results
 * @param createChooser - creates the chooser of an entry
 * @returns the policy
 */
export default function createDirectPolicy(
  name: string,
  createChooser: (context: ChooserContext) => TargetChooser,
): Policy {
  return {
    name,
    create: (fleet, locations) => locations.map((location, index) => {
      const random = fleet.createRandom(5000 + index);
      const cache = new Map<string, Candidate[]>();
      const loads = new ObservedLoads();
      const direct = new DirectScheduler(({ match: { serviceName } }) => {
        const cached = cache.get(serviceName) ?? findInRegion(fleet, location, serviceName);
        cache.set(serviceName, cached);
        return cached;
      }, (countInFlight) => createChooser({ countInFlight, random, loads }));
      const scheduler = new ObservedScheduler(direct, loads, () => fleet.clock.nowMs);
      return { scheduler, hedges: false };
    }),
  };
}
