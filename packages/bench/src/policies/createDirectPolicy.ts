import type TargetChooser from '@guavayard/core/choice/TargetChooser';
import type Candidate from '@guavayard/core/routing/Candidate';
import DirectScheduler from '@guavayard/core/scheduling/DirectScheduler';

import type BenchEntryPlace from '../BenchEntryPlace';
import type Fleet from '../Fleet';
import type Policy from '../Policy';
import type ChooserContext from './ChooserContext';
import ObservedLoads from './ObservedLoads';
import ObservedScheduler from './ObservedScheduler';

function findInRegion(fleet: Fleet, place: BenchEntryPlace, service: string): Candidate[] {
  return fleet.candidatesOf(place, service)
    .filter((candidate) => candidate.distance !== 'remote');
}

/**
 * Makes a policy that assigns at once, without limits, queue, sharing or hedges, to targets of
 * the entry's region.
 *
 * @param name - name in the table
 * @param createChooser - makes the chooser of one entry
 * @returns the policy
 */
export default function createDirectPolicy(
  name: string,
  createChooser: (context: ChooserContext) => TargetChooser,
): Policy {
  return {
    name,
    create: (fleet, places) => places.map((place, index) => {
      const random = fleet.createRandom(5000 + index);
      const cache = new Map<string, Candidate[]>();
      const loads = new ObservedLoads();
      const direct = new DirectScheduler(({ match: { serviceName } }) => {
        const known = cache.get(serviceName) ?? findInRegion(fleet, place, serviceName);
        cache.set(serviceName, known);
        return known;
      }, (countInFlight) => createChooser({ countInFlight, random, loads }));
      const scheduler = new ObservedScheduler(direct, loads, () => fleet.clock.nowMs);
      return { scheduler, hedges: false };
    }),
  };
}
