import type Policy from '../Policy';
import AllSeeingScheduler from './AllSeeingScheduler';

/** Reference policy with central queues and perfect knowledge. */
const allSeeing: Policy = {
  name: 'all-seeing',
  create: (fleet, locations) => {
    const scheduler = new AllSeeingScheduler(fleet);
    return locations.map((location) => (
      { scheduler: scheduler.forEntry(location), hedges: false }
    ));
  },
};

export default allSeeing;
