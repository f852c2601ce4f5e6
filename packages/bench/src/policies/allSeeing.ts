import type Policy from '../Policy';
import AllSeeingScheduler from './AllSeeingScheduler';

/** The mark: one queue, perfect knowledge. */
const allSeeing: Policy = {
  name: 'all-seeing',
  create: (fleet, places) => {
    const scheduler = new AllSeeingScheduler(fleet);
    return places.map((place) => ({ scheduler: scheduler.sideOf(place), hedges: false }));
  },
};

export default allSeeing;
