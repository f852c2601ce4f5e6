import * as z from 'zod';

const Count = z.int().min(0);

/** Number of breaches of each invariant since the start of the process. */
const InvariantCounts = z.strictObject({
  dispatchWithoutLease: Count,
  dispatchToDataCentreOut: Count,
  coldLimitExceeded: Count,
  outsideHomeRegions: Count,
  repeatedRun: Count,
});
type InvariantCounts = z.infer<typeof InvariantCounts>;

export default InvariantCounts;
